import attrs

from bulrushlead.declaration import Drain, DrainTarget, Region
from bulrushlead.distribution.tests.conftest import DECLARATION, HOSTS, LEASE_MS

CHANGED = attrs.evolve(DECLARATION, regions=(Region("fes"), Region("casa")))


def behind(world, revision):
    return {
        status.name
        for status in world.leader.statuses()
        if status.in_force_revision < revision and status.lease_remaining_ms > 0
    }


async def test_a_change_is_in_force_everywhere_within_two_seconds(world):
    world.accept(CHANGED)
    assert behind(world, 2) == set(HOSTS)
    await world.run_ms(2_000)
    assert behind(world, 2) == set()
    assert {s.revision for s in world.sessions.values()} == {2}
    assert all(s.declaration == CHANGED for s in world.sessions.values())


async def test_a_host_cut_off_counts_until_its_lease_has_run_out(world):
    world.links["e2"].is_cut = True
    world.accept(CHANGED)
    await world.run_ms(1_000)
    session = world.sessions["e2"]
    assert session.is_valid()
    assert behind(world, 2) == {"e2"}
    await world.run_ms(LEASE_MS)
    assert not session.is_valid()
    assert behind(world, 2) == set()


async def test_a_reported_change_is_never_in_force_before_the_cut_off_host_stops(world):
    world.links["e2"].is_cut = True
    world.accept(CHANGED)
    for _ in range(60):
        await world.run_ms(100)
        if not behind(world, 2):
            assert not world.sessions["e2"].is_valid()


async def test_a_steady_host_receives_no_tables_and_no_configuration(world):
    world.announce()
    await world.run_ms(1_500)
    reply = world.links["e3"].replies[-1]
    assert reply.configuration is None
    assert reply.servers == ()
    assert reply.hosts == ()


async def test_a_leaving_server_is_known_everywhere_and_stays_leaving(world):
    world.announce(sequence=1)
    await world.run_ms(1_000)
    assert all("s1" in s.servers for s in world.sessions.values())
    world.announce(sequence=2, draining=True)
    await world.run_ms(1_000)
    world.announce(sequence=3, draining=False, host="e2")
    await world.run_ms(1_000)
    assert all(s.servers["s1"].draining for s in world.sessions.values())
    assert all(s.holder.free_slots("s1") == 0 for s in world.sessions.values())


async def test_an_older_announcement_that_arrives_late_changes_nothing(world):
    world.announce(sequence=5)
    await world.run_ms(500)
    world.announce(sequence=4, draining=True, host="e2")
    await world.run_ms(500)
    assert not world.sessions["e1"].servers["s1"].draining


async def test_a_silent_server_is_gone(world):
    world.announce()
    await world.run_ms(1_000)
    await world.run_ms(3_500)
    assert all("s1" not in s.servers for s in world.sessions.values())


async def test_a_planned_drain_marks_servers_and_hosts(world):
    world.announce()
    await world.run_ms(1_000)
    drain = Drain("d", DrainTarget.AVAILABILITY_ZONE, "fes-a")
    world.accept(DECLARATION, (drain,))
    await world.run_ms(1_000)
    session = world.sessions["e3"]
    assert session.servers["s1"].draining
    assert {name for name, host in session.hosts.items() if host.draining} == set(HOSTS)


async def test_a_new_leader_keeps_servers_and_shares(world):
    world.announce()
    await world.run_ms(1_000)
    held = {n: s.holder.held_slots("s1") for n, s in world.sessions.items()}
    assert sum(held.values()) == 4
    world.change_leader()
    for sequence in range(2, 12):
        world.announce(sequence=sequence)
        await world.run_ms(300)
        for name, session in world.sessions.items():
            assert session.is_valid()
            assert session.holder.held_slots("s1") == held[name]


async def test_a_reply_of_an_older_revision_is_dropped(world):
    world.accept(CHANGED)
    await world.run_ms(1_000)
    world.revision = 0
    world.accept(DECLARATION)
    world.change_leader()
    await world.run_ms(1_000)
    assert {s.revision for s in world.sessions.values()} == {2}
    assert all(s.declaration == CHANGED for s in world.sessions.values())


async def test_a_host_that_falls_silent_leaves_the_look_ups(world):
    assert set(world.sessions["e1"].hosts) == set(HOSTS)
    world.links["e3"].is_cut = True
    await world.run_ms(LEASE_MS + 1_000)
    assert set(world.sessions["e1"].hosts) == {"e1", "e2"}


async def test_shares_are_kept_before_servers_announce_to_a_new_leader(world):
    world.announce()
    await world.run_ms(1_000)
    world.change_leader()
    for _ in range(10):
        await world.run_ms(100)
        held = [s.holder.held_slots("s1") for s in world.sessions.values()]
        assert sum(held) == 4
        assert all("s1" in session.servers for session in world.sessions.values())
