import attrs
import pytest

from bulrushlead.clock import ManualClock
from bulrushlead.fleet import FleetRegistry, HostReport, ServerState
from bulrushlead.fleet._reachability import REPORT_TTL_MS
from bulrushlead.fleet.tests.samples import draining, heartbeat

HEARTBEAT_MS = 1_500


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def registry(clock):
    return FleetRegistry(clock, HEARTBEAT_MS)


def record_of(registry, server_id="b1"):
    records = {record.server_id: record for record in registry.servers_since(0)}
    return records.get(server_id)


def make_report(accepting=True):
    return HostReport("entry-1", "10.0.9.1:80", "casa-a", "casa", accepting)


def test_a_repeated_heartbeat_changes_no_revision(registry):
    assert registry.record_heartbeat(heartbeat())
    revision = registry.server_revision
    assert not registry.record_heartbeat(heartbeat())
    assert registry.record_heartbeat(heartbeat(sequence=2))
    assert registry.server_revision == revision


def test_a_late_heartbeat_of_an_earlier_incarnation_is_dropped(registry):
    registry.record_heartbeat(heartbeat(born_ms=5_000, sequence=1))
    assert not registry.record_heartbeat(heartbeat(born_ms=1_000, sequence=900))
    assert record_of(registry).born_ms == 5_000


def test_a_new_incarnation_replaces_a_draining_one(registry):
    registry.record_heartbeat(draining(sequence=50))
    registry.record_heartbeat(heartbeat(born_ms=9_000, sequence=1))
    assert record_of(registry).state is ServerState.READY


def test_a_draining_incarnation_stays_draining(registry):
    registry.record_heartbeat(draining(sequence=5))
    assert not registry.record_heartbeat(heartbeat(sequence=6))
    assert record_of(registry).state is ServerState.DRAINING


def test_a_newer_server_replaces_the_one_at_its_address(registry):
    registry.record_heartbeat(heartbeat())
    registry.record_heartbeat(
        heartbeat(server_id="b2", born_ms=2_000, service="delivery")
    )
    assert record_of(registry).state is ServerState.GONE
    assert not registry.record_heartbeat(heartbeat(sequence=2))
    assert record_of(registry, "b2").state is ServerState.READY


def test_cold_time_is_reduced_by_the_age_of_the_heartbeat(registry, clock):
    registry.record_heartbeat(heartbeat(cold_left_ms=3_000.0, age_ms=200.0))
    assert record_of(registry).cold_left_ms == 2_800.0


def test_a_server_that_turns_cold_again_gets_a_new_revision(registry):
    registry.record_heartbeat(heartbeat())
    revision = registry.server_revision
    registry.record_heartbeat(heartbeat(sequence=2, cold_left_ms=2_000.0))
    assert registry.server_revision > revision


async def test_a_silent_server_is_marked_and_later_removed(registry, clock):
    registry.record_heartbeat(heartbeat())
    await clock.advance_ms(4 * HEARTBEAT_MS)
    registry.check_silence()
    assert record_of(registry).silent
    registry.record_heartbeat(heartbeat(sequence=2))
    assert not record_of(registry).silent
    await clock.advance_ms(21 * HEARTBEAT_MS)
    registry.check_silence()
    assert record_of(registry).state is ServerState.GONE


async def test_a_silent_host_accepts_no_callers(registry, clock):
    registry.record_host_report(make_report())
    await clock.advance_ms(2_000)
    registry.check_silence()
    assert not registry.hosts()[0].accepting
    registry.record_host_report(make_report())
    assert registry.hosts()[0].accepting


def test_a_host_that_stops_accepting_gets_a_new_revision(registry):
    registry.record_host_report(make_report())
    revision = registry.host_revision
    registry.record_host_report(make_report(accepting=False))
    assert registry.host_revision > revision
    assert not registry.hosts()[0].accepting


def test_a_new_leader_restores_the_records_of_a_follower(registry, clock):
    registry.record_heartbeat(heartbeat(cold_left_ms=500.0))
    successor = FleetRegistry(clock, HEARTBEAT_MS)
    successor.restore(list(registry.servers_since(0)), list(registry.hosts()))
    assert record_of(successor).cold_left_ms == 500.0
    assert successor.record_heartbeat(heartbeat(sequence=2))


def published_loads(registry, revision=0):
    registry.update_published_loads()
    return registry.loads_since(revision)


def report_loads(registry, **loads):
    for _ in range(20):
        registry.record_host_report(attrs.evolve(make_report(), loads=loads))


async def test_reported_loads_are_published_until_they_decay(registry, clock):
    registry.record_heartbeat(heartbeat())
    report_loads(registry, b1=2.0, gone=9.0)
    assert published_loads(registry) == {"b1": 2.0}
    registry.record_heartbeat(heartbeat(sequence=2, cold_left_ms=900.0))
    assert published_loads(registry) == {"b1": 2.0}
    await clock.advance_ms(10_000)
    assert published_loads(registry) == {"b1": 0.0}


async def test_steady_loads_are_published_once(registry, clock):
    """Guards against resending steady loads with every sync.

    Each host sends several sync requests a second; a thousand loads were 9 KB in each
    answer.
    """
    loads = {f"b{n}": 1.5 + n % 7 / 10 for n in range(1_000)}
    for n, server_id in enumerate(loads):
        registry.record_heartbeat(
            heartbeat(server_id=server_id, address=f"10.0.0.1:{n}")
        )
    report_loads(registry, **loads)
    assert len(published_loads(registry)) == 1_000
    revision = registry.load_revision
    for change in (0.05, -0.05, 0.1):
        report_loads(registry, **{name: load + change for name, load in loads.items()})
        assert published_loads(registry, revision) == {}


def test_a_new_incarnation_resets_the_published_load(registry):
    registry.record_heartbeat(heartbeat())
    report_loads(registry, b1=2.0)
    published_loads(registry)
    revision = registry.load_revision
    registry.record_heartbeat(heartbeat(born_ms=heartbeat().born_ms + 1))
    assert published_loads(registry, revision) == {"b1": 0.0}


def test_a_server_that_moved_releases_its_address(registry):
    registry.record_heartbeat(heartbeat())
    born_ms = heartbeat().born_ms
    registry.record_heartbeat(heartbeat(born_ms=born_ms + 1, address="10.0.0.77:80"))
    registry.record_heartbeat(heartbeat(server_id="b2", born_ms=born_ms))
    assert set(registry.ready_servers()) == {"b1", "b2"}


def test_drain_that_a_host_noticed_is_published(registry):
    """A server may drain for a while before it tells the coordinators."""
    registry.record_heartbeat(heartbeat())
    revision = registry.server_revision
    born_ms = heartbeat().born_ms
    earlier, later = {"b1": born_ms - 1, "b2": 1}, {"b1": born_ms}
    registry.record_host_report(attrs.evolve(make_report(), draining=earlier))
    assert registry.servers_since(revision) == ()
    registry.record_host_report(attrs.evolve(make_report(), draining=later))
    assert record_of(registry).state is ServerState.DRAINING
    assert not registry.record_heartbeat(heartbeat(sequence=9))


def report_unreachable(registry, *zones):
    for zone in zones:
        report = attrs.evolve(make_report(), host_id=f"e-{zone}", zone=zone)
        registry.record_host_report(attrs.evolve(report, unreachable=("b1", "gone")))


def candidates(registry, evacuated_zones=()):
    return [record.server_id for record in registry.owner_candidates(evacuated_zones)]


async def test_unreachable_server_may_not_own_objects_until_its_heartbeat(
    registry, clock
):
    registry.record_heartbeat(heartbeat())
    await clock.advance_ms(100)
    report_unreachable(registry, "casa-a", "fes-a")
    assert candidates(registry) == []
    await clock.advance_ms(100)
    registry.record_heartbeat(heartbeat(sequence=2))
    assert candidates(registry) == ["b1"]


async def test_hosts_of_one_zone_do_not_take_the_objects_of_a_server(registry, clock):
    """The zone itself may be cut off."""
    registry.record_heartbeat(heartbeat())
    await clock.advance_ms(100)
    report_unreachable(registry, "casa-a", "casa-a")
    assert candidates(registry) == ["b1"]


async def test_silent_server_keeps_its_objects_while_hosts_reach_it(registry, clock):
    """Guards against moving the objects of servers that only coordinators lost."""
    registry.record_heartbeat(heartbeat())
    await clock.advance_ms(HEARTBEAT_MS * 4)
    registry.check_silence()
    assert candidates(registry) == ["b1"]
    report_unreachable(registry, "casa-a", "fes-a")
    await clock.advance_ms(HEARTBEAT_MS * 6)
    assert candidates(registry) == []


async def test_reports_on_a_server_with_heartbeats_expire(registry, clock):
    registry.record_heartbeat(heartbeat())
    await clock.advance_ms(100)
    report_unreachable(registry, "casa-a", "fes-a")
    await clock.advance_ms(REPORT_TTL_MS)
    assert candidates(registry) == ["b1"]


def test_draining_and_evacuated_servers_may_not_own_objects(registry):
    registry.record_heartbeat(heartbeat())
    assert candidates(registry, {heartbeat().zone}) == []
    registry.record_heartbeat(draining(sequence=2))
    assert candidates(registry) == []


async def test_hosts_that_are_cut_off_do_not_take_the_objects_of_sound_servers(
    registry, clock
):
    """Guards against believing hosts that reach no server at all."""
    registry.record_heartbeat(heartbeat())
    candidate_rounds = 0
    rounds = 40
    for number in range(rounds):
        await clock.advance_ms(400)
        if number % 4 == 0:
            registry.record_heartbeat(heartbeat(sequence=number + 2))
        report_unreachable(registry, "casa-a", "fes-a", "fes-b", "agadir-a")
        answered = attrs.evolve(make_report(), host_id="e-sound", zone="casa-b")
        registry.record_host_report(attrs.evolve(answered, loads={"b1": 0.5}))
        candidate_rounds += candidates(registry) == ["b1"]
    assert candidate_rounds == rounds


async def test_a_host_that_is_cut_off_withdraws_its_reports(registry, clock):
    """They may have been sent before the host knew."""
    registry.record_heartbeat(heartbeat())
    await clock.advance_ms(100)
    report_unreachable(registry, "casa-a", "fes-a")
    assert candidates(registry) == []
    cut_off = attrs.evolve(
        make_report(), host_id="e-fes-a", zone="fes-a", reaches_servers=False
    )
    registry.record_host_report(cut_off)
    assert candidates(registry) == ["b1"]
    (record,) = [host for host in registry.hosts() if host.host_id == "e-fes-a"]
    assert not record.reaches_servers
