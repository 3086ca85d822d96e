"""Limits of the server: command size, timeouts and number of watchers.

The tests guard against calls that hang while there is no quorum and against refusals
that hide an unknown outcome of an earlier attempt.
"""

import asyncio

import attrs
import pytest

from bulrushlead.operators import RefusedError, _servicer
from bulrushlead.operators.tests.samples import (
    BASE,
    DRAIN_OF_FES,
    make_server,
    with_percent_cap,
)
from bulrushlead.results import BulrushleadError, ResultCode


async def refusal_code(awaitable) -> ResultCode:
    with pytest.raises(RefusedError) as caught:
        await awaitable
    return caught.value.code


async def wait_forever():
    await asyncio.Event().wait()


async def test_declaration_too_large_for_the_log_is_refused(
    cluster, client, monkeypatch
):
    monkeypatch.setattr(_servicer, "MAX_COMMAND_BYTES", 100)
    with pytest.raises(RefusedError) as caught:
        await client.apply(BASE, 0)
    assert caught.value.code is ResultCode.DECLARATION_INVALID
    assert caught.value.faults[0].allowed == "at most 100 bytes"
    assert not cluster.log.entries


async def test_calls_fail_when_leadership_is_unconfirmed(cluster, client, monkeypatch):
    monkeypatch.setattr(_servicer, "READ_BARRIER_TIMEOUT_MS", 10)
    client.timeout_ms = 300
    cluster.log.replicas[0].read_barrier = wait_forever
    for call in (client.export(), client.apply(BASE, 0)):
        assert await refusal_code(call) is ResultCode.CONTROL_UNREACHABLE


async def test_propose_timeout_has_an_unknown_outcome(cluster, client, monkeypatch):
    monkeypatch.setattr(_servicer, "PROPOSE_TIMEOUT_MS", 10)
    client.timeout_ms = 300
    cluster.log.replicas[0].propose = lambda command: wait_forever()
    assert (
        await refusal_code(client.apply(BASE, 0)) is ResultCode.CHANGE_OUTCOME_UNKNOWN
    )


async def test_refused_retry_after_a_lost_reply_has_an_unknown_outcome(cluster, client):
    await client.apply(BASE, 0)
    replica = cluster.log.replicas[0]

    # With a backend server in the drained region, the retry needs force.
    async def lose_reply(command):
        replica.servers = (make_server("b1", "fes"),)
        raise BulrushleadError(ResultCode.CHANGE_OUTCOME_UNKNOWN, "answer lost")

    replica.propose = lose_reply
    entry = attrs.evolve(BASE.hosts[0], name="entry-2", address="")
    hosts = (*BASE.hosts, attrs.evolve(entry, availability_zone="casa-a"))
    drained = attrs.evolve(BASE, hosts=hosts, drains=(DRAIN_OF_FES,))
    assert (
        await refusal_code(client.apply(drained, 1))
        is ResultCode.CHANGE_OUTCOME_UNKNOWN
    )


async def test_wrong_expected_revision_is_refused_before_append(cluster, client):
    await client.apply(BASE, 0)
    for expected in (0, 2):
        code = await refusal_code(client.apply(with_percent_cap(20), expected))
        assert code is ResultCode.REVISION_CONFLICT
    assert len(cluster.log.entries) == 1


async def test_watchers_are_limited_and_ended_ones_not_counted(
    cluster, client, monkeypatch
):
    monkeypatch.setattr(_servicer, "MAX_WATCHERS", 1)
    await client.apply(BASE, 0)
    first = client.watch(0)
    assert (await anext(first)).revision == 1
    assert await refusal_code(anext(client.watch(0))) is ResultCode.OVERLOADED
    await first.aclose()
    # The server detects the end of a stream with a delay.
    while True:
        try:
            assert (await anext(client.watch(0))).revision == 1
            return
        except RefusedError:
            await asyncio.sleep(0.01)
