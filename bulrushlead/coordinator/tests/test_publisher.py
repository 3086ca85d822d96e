import attrs
import pytest

from bulrushlead.clock import ManualClock
from bulrushlead.coordinator import CoordinatorSettings
from bulrushlead.coordinator._messages import AnnounceBatch
from bulrushlead.coordinator._publisher import FleetPublisher
from bulrushlead.coordinator._state import AcceptPlan, OrderState, RecordDeparture
from bulrushlead.fleet import (
    FleetView,
    HostReport,
    LimitNotice,
    ServerState,
    SyncPosition,
    SyncRequest,
)
from bulrushlead.fleet.tests.samples import heartbeat
from bulrushlead.metrics import CompactMeters
from bulrushlead.organisations import OrganisationSettings, UsageReport
from bulrushlead.traffic import Organisation, TrafficPlan
from bulrushlead.wire import codec
from bulrushlead.wire._frame import unpack_frame

SETTINGS = CoordinatorSettings(
    "core-1",
    "a",
    "north",
    "10.0.0.1:7000",
    (),
    "",
    True,
    zone_regions={"casa-a": "casa"},
)


class FakeLeaderLog:
    """Fake log on which this host is the leader."""

    term = 1
    replica_id = "r1"
    members = ()

    def is_leader(self):
        return True

    def watch_leadership(self, callback):
        self.callback = callback


@pytest.fixture
def state():
    return OrderState()


@pytest.fixture
def publisher(state):
    clock = ManualClock()
    publisher = FleetPublisher(SETTINGS, clock, FleetView(clock), CompactMeters())
    log = FakeLeaderLog()
    publisher.attach(log, state)
    log.callback(True)
    return publisher


async def sync(publisher, host_id, position=None):
    report = HostReport(host_id, f"{host_id}:80", "a", "north", True)
    packed = await publisher.handle_sync(
        SyncRequest(position or SyncPosition(), report)
    )
    return packed, codec.decode(unpack_frame(packed.frame(1))[1])


async def announce(publisher, count):
    await publisher.handle_heartbeats(
        AnnounceBatch(
            tuple(
                heartbeat(server_id=f"b{n}", address=f"10.0.0.1:{n}")
                for n in range(count)
            )
        )
    )


async def test_hosts_at_the_same_position_get_one_packed_answer(publisher):
    """Guards against encoding the same update once for each host.

    Encoding a thousand records takes milliseconds, and a hundred hosts request them.
    """
    await announce(publisher, 200)
    for name in ("e1", "e2"):
        await sync(publisher, name)
    first, update = await sync(publisher, "e1")
    second, _ = await sync(publisher, "e2")
    assert second is first
    assert len(update.servers) == 200
    other, _ = await sync(publisher, "e1", update.position)
    assert other is not first


async def test_a_departure_is_sent_once_in_the_next_answer(publisher, state):
    await announce(publisher, 3)
    _, update = await sync(publisher, "e1")
    state.apply(1, codec.encode(RecordDeparture("b1", heartbeat().born_ms)))
    _, update = await sync(publisher, "e1", update.position)
    assert [(s.server_id, s.state) for s in update.servers] == [
        ("b1", ServerState.DRAINING)
    ]
    _, update = await sync(publisher, "e1", update.position)
    assert update.servers == ()


async def test_an_expired_packed_answer_is_encoded_again(publisher):
    await publisher.handle_heartbeats(AnnounceBatch((heartbeat(cold_left_ms=2_000.0),)))
    await sync(publisher, "e1")
    first, _ = await sync(publisher, "e1")
    await publisher.clock.advance_ms(1_000)
    _, update = await sync(publisher, "e1")
    assert [s.cold_left_ms for s in update.servers] == [1_000.0]


async def test_a_new_term_sends_all_servers_again(publisher):
    await announce(publisher, 3)
    _, update = await sync(publisher, "e1")
    publisher._log.term = 2
    _, later = await sync(publisher, "e1", update.position)
    assert later.term == 2
    assert len(later.servers) == 3
    assert attrs.evolve(later.position, epoch="") == attrs.evolve(
        update.position, epoch=""
    )


async def report_demand(publisher, host_id, demand):
    """Report demand and return the position that the host has then."""
    _, update = await sync(publisher, host_id)
    report = HostReport(host_id, f"{host_id}:80", "a", "north", True, demand=demand)
    await publisher.handle_sync(SyncRequest(update.position, report))
    return update.position


async def test_owners_of_objects_are_published_once(publisher):
    await announce(publisher, 2)
    publisher.check_silence()
    position = await report_demand(publisher, "e1", {"b1": {7: 200.0}})
    publisher.check_silence()
    _, update = await sync(publisher, "e1", position)
    assert update.owners == {"casa/stock": {7: "b1"}}
    _, update = await sync(publisher, "e1", update.position)
    assert update.owners == {}


async def test_owner_moves_when_its_departure_is_recorded(publisher, state):
    await announce(publisher, 2)
    publisher.check_silence()
    position = await report_demand(publisher, "e1", {"b1": {7: 200.0}})
    publisher.check_silence()
    state.apply(1, codec.encode(RecordDeparture("b1", heartbeat().born_ms)))
    publisher.check_silence()
    _, update = await sync(publisher, "e1", position)
    assert update.owners == {"casa/stock": {7: "b0"}}


async def test_new_leader_publishes_the_owners_that_it_received(publisher):
    await announce(publisher, 2)
    _, update = await sync(publisher, "e1")
    publisher.view.apply(attrs.evolve(update, owners={"casa/stock": {7: "b1"}}))
    publisher._log.term = 2
    publisher._log.callback(True)
    _, update = await sync(publisher, "e1", update.position)
    assert update.owners == {"casa/stock": {7: "b1"}}


async def test_all_hosts_of_a_new_leader_get_one_packed_answer(publisher):
    """Guards against a leader that loses its lease while it encodes full lists.

    After a restart of all coordinators, each host's first report changed the list of
    hosts, so that 185 answers of 400 servers were encoded one by one; each leader in
    turn lost its quorum meanwhile.
    """
    await announce(publisher, 400)
    positions = [SyncPosition(epoch=f"old/{n}", server_revision=n) for n in range(185)]
    answers = {
        id((await sync(publisher, f"e{n}", position))[0])
        for n, position in enumerate(positions)
    }
    assert len(answers) == 1
    _, update = await sync(publisher, "e0", positions[0])
    _, rest = await sync(publisher, "e0", update.position)
    assert len(rest.hosts) == 185


async def test_full_answer_holds_every_acknowledged_departure(publisher, state):
    await announce(publisher, 3)
    await sync(publisher, "e1")
    state.apply(1, codec.encode(RecordDeparture("b1", heartbeat().born_ms)))
    _, update = await sync(publisher, "e2")
    states = {record.server_id: record.state for record in update.servers}
    assert states["b1"] is ServerState.DRAINING


async def test_limit_that_one_host_reports_reaches_the_others(publisher):
    await announce(publisher, 1)
    _, update = await sync(publisher, "e2")
    notice = LimitNotice(heartbeat().born_ms, 2.2, 30.0)
    report = HostReport("e1", "e1:80", "a", "north", True, limits={"b0": notice})
    await publisher.handle_sync(SyncRequest(update.position, report))
    publisher.check_silence()
    _, update = await sync(publisher, "e2", update.position)
    assert [server.limit for server in update.servers] == [notice]


def usage(admitted, history=(0,) * 11):
    counts = {"labs": (admitted, admitted, 500.0, 500.0)}
    return UsageReport(1, counts, {"labs": history})


async def sync_usage(publisher, host_id, report, position=None):
    host = HostReport(host_id, f"{host_id}:80", "a", "north", True, usage=report)
    packed = await publisher.handle_sync(SyncRequest(position or SyncPosition(), host))
    return codec.decode(unpack_frame(packed.frame(1))[1])


async def test_quotas_are_published_to_all_hosts(publisher, state):
    labs = Organisation("labs", (), None, 10.0, 0.0)
    plan = TrafficPlan(1, organisations=(labs,))
    state.apply(1, codec.encode(AcceptPlan(plan, b"{}")))
    position = (await sync_usage(publisher, "e1", UsageReport(1))).position
    report = usage(400, (400,) + (0,) * 10)
    update = await sync_usage(publisher, "e1", report, position)
    assert update.quotas["labs"].fraction < 0.2
    other = await sync_usage(publisher, "e2", UsageReport(1), position)
    assert other.quotas == update.quotas


async def test_changed_settings_of_quotas_apply_without_a_restart(publisher):
    settings = OrganisationSettings(window_ms=2_000.0)
    publisher.reload(attrs.evolve(SETTINGS, organisations=settings))
    assert publisher.quotas.settings == settings


async def test_a_new_leader_publishes_no_quotas_until_hosts_have_reported(
    publisher, state
):
    """Guards against an organisation that starts over after each election."""
    labs = Organisation("labs", (), None, 10.0, 0.0)
    state.apply(
        1, codec.encode(AcceptPlan(TrafficPlan(1, organisations=(labs,)), b"{}"))
    )
    first = await sync_usage(publisher, "e1", UsageReport(1))
    publisher.view.apply(attrs.evolve(first, position=attrs.evolve(first.position)))
    publisher._log.callback(False)
    publisher._log.term = 2
    publisher._log.callback(True)
    update = await sync_usage(publisher, "e1", UsageReport(1))
    assert update.quotas is None
    report = usage(400, (400,) + (0,) * 10)
    update = await sync_usage(publisher, "e1", report, update.position)
    assert update.quotas["labs"].fraction < 0.2
