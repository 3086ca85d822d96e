import asyncio

import attrs
import pytest

from bulrushlead.operators import RefusedError, _servicer
from bulrushlead.operators.tests.samples import BASE, DRAIN_OF_FES, server, with_cap
from bulrushlead.results import BulrushleadError, ResultCode


async def code_of(awaitable) -> ResultCode:
    with pytest.raises(RefusedError) as caught:
        await awaitable
    return caught.value.code


async def never():
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


async def test_leader_that_cannot_confirm_itself_answers_no_reads(
    cluster, client, monkeypatch
):
    monkeypatch.setattr(_servicer, "READ_BARRIER_TIMEOUT_MS", 10)
    client.timeout_ms = 300
    cluster.log.replicas[0].read_barrier = never
    for call in (client.export(), client.apply(BASE, 0)):
        assert await code_of(call) is ResultCode.CONTROL_UNREACHABLE


async def test_change_that_no_quorum_stores_has_an_unknown_outcome(
    cluster, client, monkeypatch
):
    monkeypatch.setattr(_servicer, "PROPOSE_TIMEOUT_MS", 10)
    client.timeout_ms = 300
    cluster.log.replicas[0].propose = lambda command: never()
    assert await code_of(client.apply(BASE, 0)) is ResultCode.CHANGE_OUTCOME_UNKNOWN


async def test_refusal_before_the_log_does_not_hide_an_unknown_outcome(cluster, client):
    await client.apply(BASE, 0)
    replica = cluster.log.replicas[0]

    async def lose(command):
        replica.servers = (server("b1", "fes"),)
        raise BulrushleadError(ResultCode.CHANGE_OUTCOME_UNKNOWN, "answer lost")

    replica.propose = lose
    entry = attrs.evolve(BASE.hosts[0], name="entry-2", address="")
    hosts = (*BASE.hosts, attrs.evolve(entry, availability_zone="casa-a"))
    drained = attrs.evolve(BASE, hosts=hosts, drains=(DRAIN_OF_FES,))
    assert await code_of(client.apply(drained, 1)) is ResultCode.CHANGE_OUTCOME_UNKNOWN


async def test_stale_change_is_refused_before_the_log(cluster, client):
    await client.apply(BASE, 0)
    for expected in (0, 2):
        code = await code_of(client.apply(with_cap(20), expected))
        assert code is ResultCode.REVISION_CONFLICT
    assert len(cluster.log.entries) == 1


async def test_watchers_are_bounded_and_make_room_again(cluster, client, monkeypatch):
    monkeypatch.setattr(_servicer, "MAX_WATCHERS", 1)
    await client.apply(BASE, 0)
    first = client.watch(0)
    assert (await anext(first)).revision == 1
    assert await code_of(anext(client.watch(0))) is ResultCode.OVERLOADED
    await first.aclose()
    # The server hears of the end of a stream a little later.
    while True:
        try:
            assert (await anext(client.watch(0))).revision == 1
            return
        except RefusedError:
            await asyncio.sleep(0.01)
