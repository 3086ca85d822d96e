"""Steps about callers and their answers."""

import asyncio

from pytest_bdd import parsers, then, when

from bulrushlead.results import ResultCode


@when(parsers.parse('a caller sends "{key}" through entry host {number:d}'))
def _send_key(harness, run, key, number):
    run(harness.send(number, harness.services[0], "/do", "POST", key, body=b"x"))


@when(parsers.parse('a caller sends "{key}" through entry host {number:d} and waits'))
def _start_key_request(harness, run, key, number):
    async def start():
        harness.start_request(
            number, harness.services[0], "/do", "POST", key, body=b"x"
        )
        await harness.wait_until(lambda: harness.runs_of(key) > 0)

    run(start())


@when(parsers.parse('"{key}" is sent through both entry hosts at once'))
def _send_both(harness, run, key):
    async def send():
        for number in (1, 2, 1, 2):
            harness.start_request(
                number, harness.services[0], "/do", "POST", key, body=b"x"
            )
        await harness.wait_for_pending()

    run(send())


@when(parsers.parse('"{key}" is sent again through entry host {number:d}'))
def _resend(harness, run, key, number):
    run(harness.send(number, harness.services[0], "/do", "POST", key, body=b"x"))


@when(
    parsers.parse(
        '"{key}" is sent again through entry host {number:d} until its outcome is known'
    )
)
def _resend_until_outcome(harness, run, key, number):
    async def resend():
        while True:
            answer = await harness.send(
                number, harness.services[0], "/do", "POST", key, body=b"x"
            )
            code = answer.content.get("code")
            if answer.status == 200 or code == ResultCode.KEY_OUTCOME_UNKNOWN:
                return
            await asyncio.sleep(0.1)

    run(with_timeout(resend()))


async def with_timeout(work):
    async with asyncio.timeout(30):
        return await work


@when(parsers.parse('"{key}" with another body is sent through entry host {number:d}'))
def _send_other_body(harness, run, key, number):
    run(harness.send(number, harness.services[0], "/do", "POST", key, body=b"y"))


@when(parsers.parse("{count:d} stock requests are sent through entry host {n:d}"))
def _send_many(harness, run, count, n):
    async def send():
        for number in range(count):
            await harness.send(n, harness.services[0], f"/stock/{number}")

    run(send())


@when(parsers.parse("{count:d} callers send at once through both entry hosts"))
def _send_burst(harness, run, count):
    async def send():
        for number in range(count):
            entry = 1 + number % len(harness.deployment.entries)
            harness.start_request(entry, harness.services[0], f"/stock/{number}")
        harness.burst_start_ms = harness.deployment.clock.now_ms()
        await harness.wait_for_pending()
        harness.burst_end_ms = harness.deployment.clock.now_ms()

    run(send())


@when(parsers.parse("{count:d} callers send at once through entry host {n:d}"))
def _send_burst_to_one(harness, run, count, n):
    async def send():
        for number in range(count):
            harness.start_request(n, harness.services[0], f"/stock/{number}")
        await harness.wait_for_pending()

    run(send())


@when(parsers.parse("{count:d} callers wait at entry host {n:d}"))
def _start_waiting_callers(harness, run, count, n):
    async def start():
        before = len(harness.executions())
        for number in range(count):
            harness.start_request(n, harness.services[0], f"/stock/{number}")
        await harness.wait_until(lambda: len(harness.executions()) >= before + count)

    run(start())


@when(
    parsers.parse(
        "a caller with a timeout of {timeout:d} ms sends through entry host {n:d}"
    )
)
def _send_with_timeout(harness, run, timeout, n):
    run(harness.send(n, harness.services[0], "/late", timeout_ms=timeout))


@when(parsers.parse("entry host {n:d} serves callers again"))
def _serves_again(harness, run, n):
    run(harness.send_until_served(n, harness.services[0], "/again"))


@then("every caller got the complete answer to its own request")
def _all_answers_match(harness):
    assert harness.answers
    for path, key, answer in harness.answers:
        assert answer.status == 200, answer
        assert answer.content["path"] == path
        assert answer.content["key"] == key


@then("every complete answer belongs to its own request")
def _complete_answers_match(harness):
    assert any(answer.status == 200 for _, _, answer in harness.answers)
    for path, key, answer in harness.answers:
        if answer.status == 200:
            assert (answer.content["path"], answer.content["key"]) == (path, key)


@then(parsers.parse("the last caller is refused as {ran} with {name}"))
def _last_refused(harness, ran, name):
    answer = harness.answers[-1][2]
    assert answer.content.get("name") == name, answer
    assert answer.ran == {"not run": "no", "unknown": "unknown"}[ran]
    assert answer.content["retry_after_ms"] >= 0


@then("no request that was refused as not run has run")
def _refused_did_not_run(harness):
    ran = {execution.path for execution in harness.executions()}
    refused = [p for p, _, answer in harness.answers if answer.ran == "no"]
    assert refused
    assert not ran & set(refused)


@then("no backend server ran a request")
def _nothing_ran(harness):
    assert harness.executions() == []


@then(parsers.parse('"{key}" ran {count:d} time'))
def _ran_times(harness, key, count):
    assert harness.runs_of(key) == count


@then(parsers.parse('"{key}" ran at most once'))
def _ran_at_most_once(harness, key):
    assert harness.runs_of(key) <= 1


@then("every complete answer to it is the same")
def _same_answers(harness):
    contents = [a.content for _, _, a in harness.answers if a.status == 200]
    assert contents
    assert all(content == contents[0] for content in contents)


@then("its outcome is reported as done or unknown, never as not run")
def _never_not_run(harness):
    outcomes = {answer.ran for _, key, answer in harness.answers if key}
    assert outcomes <= {"yes", "unknown"}


@then("no backend server received more requests than its slots")
def _slots_hold(harness):
    assert harness.executions()
    assert [server.refused_without_free_slot for server in harness.servers()] == [
        0
    ] * len(harness.servers())
