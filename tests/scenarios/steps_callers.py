"""Steps about callers and what they were told."""

import asyncio

from pytest_bdd import parsers, then, when

from bulrushlead.results import ResultCode


@when(parsers.parse('a caller sends "{key}" through entry host {number:d}'))
def _send_key(world, run, key, number):
    run(world.send(number, world.services[0], "/do", "POST", key, body=b"x"))


@when(parsers.parse('a caller sends "{key}" through entry host {number:d} and waits'))
def _send_key_later(world, run, key, number):
    async def begin():
        world.send_later(number, world.services[0], "/do", "POST", key, body=b"x")
        await world.until(lambda: world.runs_of(key) > 0)

    run(begin())


@when(parsers.parse('"{key}" is sent through both entry hosts at once'))
def _send_both(world, run, key):
    async def send():
        for number in (1, 2, 1, 2):
            world.send_later(number, world.services[0], "/do", "POST", key, body=b"x")
        await world.settle()

    run(send())


@when(parsers.parse('"{key}" is sent again through entry host {number:d}'))
def _resend(world, run, key, number):
    run(world.send(number, world.services[0], "/do", "POST", key, body=b"x"))


@when(
    parsers.parse(
        '"{key}" is sent again through entry host {number:d} until it is told the end'
    )
)
def _resend_until(world, run, key, number):
    async def resend():
        while True:
            answer = await world.send(
                number, world.services[0], "/do", "POST", key, body=b"x"
            )
            code = answer.content.get("code")
            if answer.status == 200 or code == ResultCode.KEY_OUTCOME_UNKNOWN:
                return
            await asyncio.sleep(0.1)

    run(asyncio_timeout(resend()))


async def asyncio_timeout(work):
    async with asyncio.timeout(30):
        return await work


@when(parsers.parse('"{key}" with another body is sent through entry host {number:d}'))
def _send_other_body(world, run, key, number):
    run(world.send(number, world.services[0], "/do", "POST", key, body=b"y"))


@when(parsers.parse("{count:d} look-ups of stock are sent through entry host {n:d}"))
def _send_many(world, run, count, n):
    async def send():
        for number in range(count):
            await world.send(n, world.services[0], f"/stock/{number}")

    run(send())


@when(parsers.parse("{count:d} callers ask at once through both entry hosts"))
def _ask_at_once(world, run, count):
    async def send():
        for number in range(count):
            entry = 1 + number % len(world.deployment.entries)
            world.send_later(entry, world.services[0], f"/stock/{number}")
        world.asked_ms = world.deployment.clock.now_ms()
        await world.settle()
        world.answered_ms = world.deployment.clock.now_ms()

    run(send())


@when(parsers.parse("{count:d} callers ask at once through entry host {n:d}"))
def _ask_one_at_once(world, run, count, n):
    async def send():
        for number in range(count):
            world.send_later(n, world.services[0], f"/stock/{number}")
        await world.settle()

    run(send())


@when(parsers.parse("{count:d} callers wait at entry host {n:d}"))
def _callers_wait(world, run, count, n):
    async def begin():
        before = len(world.executions())
        for number in range(count):
            world.send_later(n, world.services[0], f"/stock/{number}")
        await world.until(lambda: len(world.executions()) >= before + count)

    run(begin())


@when(parsers.parse("a caller with {timeout:d} ms left asks entry host {n:d}"))
def _short_deadline(world, run, timeout, n):
    run(world.send(n, world.services[0], "/late", timeout_ms=timeout))


@when(parsers.parse("entry host {n:d} serves callers again"))
def _serves_again(world, run, n):
    run(world.send_until_served(n, world.services[0], "/again"))


@then("every caller got the complete answer to its own request")
def _own_answers(world):
    assert world.answers
    for path, key, answer in world.answers:
        assert answer.status == 200, answer
        assert answer.content["path"] == path
        assert answer.content["key"] == key


@then("every complete answer belongs to its own request")
def _own_if_any(world):
    assert any(answer.status == 200 for _, _, answer in world.answers)
    for path, key, answer in world.answers:
        if answer.status == 200:
            assert (answer.content["path"], answer.content["key"]) == (path, key)


@then(parsers.parse("the last caller is refused as {ran} with {name}"))
def _last_refused(world, ran, name):
    answer = world.answers[-1][2]
    assert answer.content.get("name") == name, answer
    assert answer.ran == {"not run": "no", "unknown": "unknown"}[ran]
    assert answer.content["retry_after_ms"] >= 0


@then("every caller that was refused as not run truly did not run")
def _not_run_is_true(world):
    ran = {entry.path for entry in world.executions()}
    refused = [p for p, _, answer in world.answers if answer.ran == "no"]
    assert refused
    assert not ran & set(refused)


@then("no request reached a backend server")
def _nothing_ran(world):
    assert world.executions() == []


@then(parsers.parse('"{key}" ran {count:d} time'))
def _ran_times(world, key, count):
    assert world.runs_of(key) == count


@then(parsers.parse('"{key}" ran at most once'))
def _ran_once_at_most(world, key):
    assert world.runs_of(key) <= 1


@then("every answer to it that came is the same")
def _same_answers(world):
    contents = [a.content for _, _, a in world.answers if a.status == 200]
    assert contents
    assert all(content == contents[0] for content in contents)


@then("its outcome is told as done or as unknown, never as not run")
def _never_not_run(world):
    told = {answer.ran for _, key, answer in world.answers if key}
    assert told <= {"yes", "unknown"}


@then("no backend server was given more requests than its slots")
def _slots_hold(world):
    assert world.executions()
    assert [server.refused_full for server in world.servers()] == [0] * len(
        world.servers()
    )
