"""Operators' calls over gRPC to three control hosts that share a log.

The tests guard against changes that are applied twice or reported wrongly when a
reply is lost, the leader changes or a host is unreachable.
"""

import asyncio

import attrs
import grpc
import pytest

from bulrushlead.operators import HostStatus, RefusedError
from bulrushlead.operators import operators_pb2 as pb
from bulrushlead.operators.operators_pb2_grpc import OperatorsStub
from bulrushlead.operators.tests.samples import (
    BASE,
    DRAIN_OF_FES,
    make_server,
    with_percent_cap,
)
from bulrushlead.results import ResultCode
from bulrushlead.wire import MAX_MESSAGE_BYTES, codec


async def catch_refusal(awaitable) -> RefusedError:
    with pytest.raises(RefusedError) as caught:
        await awaitable
    return caught.value


async def test_apply_export_history_and_status_agree(cluster, client):
    assert (await client.apply(BASE, 0, author="ana")).revision == 1
    assert (await client.apply(with_percent_cap(20), 1, author="omar")).revision == 2
    accepted = await client.export()
    assert (accepted.revision, accepted.author) == (2, "omar")
    assert accepted.declaration == with_percent_cap(20.0)
    newest, oldest = await client.history()
    assert newest.summary == ("~ shifts.relief: percent_cap: 10.0 -> 20.0",)
    assert (oldest.revision, oldest.author) == (1, "ana")
    assert await client.history(1) == (newest,)
    assert (await client.status()).revision == 2


async def test_one_of_two_concurrent_changes_is_accepted(cluster, client):
    await client.apply(BASE, 0)
    other = cluster.client()
    results = await asyncio.gather(
        client.apply(with_percent_cap(20), 1, author="ana"),
        other.apply(with_percent_cap(30), 1, author="omar"),
        return_exceptions=True,
    )
    await other.close()
    refused = [result for result in results if isinstance(result, RefusedError)]
    assert len(refused) == 1
    assert refused[0].code is ResultCode.REVISION_CONFLICT
    assert refused[0].current_revision == 2
    assert "percent_cap: 10.0 ->" in refused[0].differences[0]
    assert cluster.log.replicas[0].state.current.revision == 2


async def test_change_whose_reply_is_lost_is_applied_once(cluster, client):
    leader = cluster.log.replicas[0]
    leader.n_lost_replies, leader.next_leader = 1, 2
    assert (await client.apply(BASE, 0)).revision == 1
    assert (await client.export()).revision == 1
    assert len(cluster.log.entries) == 1


async def test_attempt_that_times_out_is_retried(cluster):
    client = cluster.client()
    cluster.log.replicas[0].n_hanging_replies = 1
    cluster.log.replicas[0].on_hang = client.clock.trigger_timeout
    assert (await client.apply(BASE, 0)).revision == 1
    assert len(cluster.log.entries) == 1
    await client.close()


async def test_retry_is_recognised_after_snapshot_and_leader_change(cluster):
    first, second = cluster.client(), cluster.client()
    await first.apply(BASE, 0, "change-1")
    await first.apply(with_percent_cap(20), 1, "change-2")
    cluster.log.replicas[1].restart_from_snapshot()
    cluster.log.leader = 1
    reply = await second.apply(BASE, 0, "change-1")
    assert reply.revision == 1
    assert (await second.export()).declaration == with_percent_cap(20)
    error = await catch_refusal(second.apply(with_percent_cap(30), 2, "change-2"))
    assert error.code is ResultCode.REQUEST_ID_REUSED
    await asyncio.gather(first.close(), second.close())


async def test_unknown_outcome_names_the_request_id(cluster):
    client = cluster.client(timeout_ms=300)
    cluster.log.replicas[0].n_lost_proposals = 1_000
    error = await catch_refusal(client.apply(BASE, 0, "change-1"))
    assert error.code is ResultCode.CHANGE_OUTCOME_UNKNOWN
    assert "request id change-1 and expected revision 0" in error.detail
    cluster.log.replicas[0].n_lost_proposals = 0
    assert (await client.apply(BASE, 0, "change-1")).revision == 1
    await client.close()


async def test_followers_refuse_reads(cluster):
    address = cluster.log.addresses[1]
    async with grpc.aio.insecure_channel(address) as channel:
        stub = OperatorsStub(channel)
        for call, request in (
            (stub.Export, pb.ExportRequest()),
            (stub.GetStatus, pb.GetStatusRequest()),
            (stub.GetHistory, pb.GetHistoryRequest()),
            (stub.Diff, pb.DiffRequest()),
        ):
            with pytest.raises(grpc.aio.AioRpcError) as caught:
                await call(request)
            metadata = dict(caught.value.trailing_metadata())
            refusal = pb.Refusal.FromString(metadata["bulrushlead-refusal-bin"])
            assert metadata["bulrushlead-code"] == "2001"
            assert refusal.code == ResultCode.NOT_LEADER
            assert refusal.leader_hint == cluster.log.addresses[0]


async def test_client_follows_leader_hint_to_unlisted_host(cluster):
    client = cluster.client([cluster.log.addresses[1]])
    assert (await client.apply(BASE, 0)).revision == 1
    await client.close()


async def test_calls_without_a_leader_report_control_unreachable(cluster):
    cluster.log.replicas[0].is_leader = lambda: False
    client = cluster.client(timeout_ms=300)
    for call in (client.export(), client.apply(BASE, 0)):
        error = await catch_refusal(call)
        assert error.code is ResultCode.CONTROL_UNREACHABLE
    assert not cluster.log.entries
    await client.close()


async def test_connect_timeout_has_no_unknown_outcome(cluster):
    client = cluster.client([cluster.log.addresses[0]], timeout_ms=1)
    client._channels.connect = lambda address: asyncio.Event().wait()
    client.clock.trigger_timeout()
    error = await catch_refusal(client.apply(BASE, 0))
    assert error.code is ResultCode.CONTROL_UNREACHABLE
    await client.close()


async def test_unreachable_hosts_are_skipped(cluster):
    client = cluster.client(["127.0.0.1:1", *cluster.log.addresses])
    assert (await client.apply(BASE, 0)).revision == 1
    await client.close()


async def test_risky_change_needs_force(cluster, client):
    await client.apply(BASE, 0)
    cluster.log.replicas[0].servers = (
        make_server("b1", "fes"),
        make_server("b2", "casa", 3),
    )
    risky = attrs.evolve(with_percent_cap(20), drains=(DRAIN_OF_FES,))
    proposed = await client.diff(risky)
    assert [change.item for change in proposed.difference.changes] == ["relief", "work"]
    error = await catch_refusal(client.apply(risky, 1))
    assert error.code is ResultCode.NEEDS_FORCE
    assert error.risks == proposed.risks
    assert "leave 3 slots; needed_slots is 4" in error.risks[0].detail
    assert (await client.apply(risky, 1, force=True)).revision == 2
    assert (await client.history(1))[0].force


async def test_server_validates_declarations(cluster):
    request = pb.ApplyRequest(
        request_id="a", declaration=pb.Declaration(regions=[pb.Region(name="a b")])
    )
    refusal = await _raw_refusal(cluster, "Apply", request.SerializeToString())
    assert refusal.code == ResultCode.DECLARATION_INVALID
    assert refusal.faults[0].key == "regions.a b.name"
    assert not cluster.log.entries


@pytest.mark.parametrize(
    ("method", "data"),
    [
        ("Apply", b"\xff\xff\xff"),
        ("Watch", b"\xff\xff\xff"),
        ("Apply", pb.ApplyRequest(request_id="a/b").SerializeToString()),
        ("Apply", pb.ApplyRequest(request_id="a" * 65).SerializeToString()),
        ("GetHistory", pb.GetHistoryRequest(limit=-1).SerializeToString()),
        (
            "Diff",
            pb.DiffRequest(
                declaration=pb.Declaration(hosts=[pb.Host(name="a", role=9)])
            ).SerializeToString(),
        ),
    ],
)
async def test_malformed_calls_are_refused_and_later_calls_succeed(
    cluster, client, method, data
):
    refusal = await _raw_refusal(cluster, method, data)
    assert refusal.code == ResultCode.MESSAGE_MALFORMED
    assert (await client.apply(BASE, 0)).revision == 1


async def _raw_refusal(cluster, method: str, data: bytes) -> pb.Refusal:
    async with grpc.aio.insecure_channel(cluster.log.addresses[0]) as channel:
        path = f"/bulrushlead.v1.Operators/{method}"
        with pytest.raises(grpc.aio.AioRpcError) as caught:
            if method == "Watch":
                async for _ in channel.unary_stream(path)(data):
                    pass
            else:
                await channel.unary_unary(path)(data)
    metadata = dict(caught.value.trailing_metadata())
    return pb.Refusal.FromString(metadata["bulrushlead-refusal-bin"])


async def test_oversized_call_is_refused(cluster, client):
    async with grpc.aio.insecure_channel(cluster.log.addresses[0]) as channel:
        call = channel.unary_unary("/bulrushlead.v1.Operators/Apply")
        with pytest.raises(grpc.aio.AioRpcError) as caught:
            await call(b"\x00" * (MAX_MESSAGE_BYTES + 1))
    assert caught.value.code() is grpc.StatusCode.RESOURCE_EXHAUSTED
    assert (await client.export()).revision == 0


async def test_refusal_with_thousands_of_faults_is_bounded(cluster):
    declaration = pb.Declaration(
        regions=[pb.Region(name="é" * 500) for _ in range(2_000)]
    )
    request = pb.ApplyRequest(request_id="a", declaration=declaration)
    refusal = await _raw_refusal(cluster, "Apply", request.SerializeToString())
    assert refusal.code == ResultCode.DECLARATION_INVALID
    assert 0 < refusal.ByteSize() <= 3_072


async def test_idle_watch_continues_after_a_leader_change(cluster, client):
    received = []

    async def watch():
        async for entry in client.watch(0):
            received.append(entry.revision)
            if len(received) == 3:
                return

    watch_task = asyncio.create_task(watch())
    other = cluster.client()
    await other.apply(BASE, 0)
    await other.apply(with_percent_cap(20), 1)
    while len(received) < 2:
        await asyncio.sleep(0.01)
    # The watch has been idle for longer than the timeout of one call.
    client.clock.time_ms += 2 * client.timeout_ms
    cluster.log.leader = 2
    await other.apply(with_percent_cap(30), 2)
    await watch_task
    await other.close()
    assert received == [1, 2, 3]


async def test_wait_in_force_names_the_hosts_behind(cluster, client):
    replica = cluster.log.replicas[0]
    await client.apply(BASE, 0)
    replica.hosts = (
        HostStatus("entry-1", in_force_revision=1, lease_remaining_ms=900.0),
        HostStatus("entry-2", in_force_revision=0, lease_remaining_ms=900.0),
        HostStatus("entry-3", in_force_revision=0, lease_remaining_ms=0.0),
    )
    status = await client.wait_in_force(1, timeout_ms=0)
    assert status.hosts_behind(1) == ("entry-2",)
    assert codec.decode(codec.encode(status)) == status
