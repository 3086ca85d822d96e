"""Sessions between entry hosts and the leader.

The tests guard against a change that is reported complete while a cut-off host still
serves the old revision, and against servers, hosts or shares that are lost, outdated or
restored by late messages or a change of leader.
"""

import attrs

from bulrushlead.declaration import Drain, DrainTarget, Region
from bulrushlead.distribution.tests.conftest import DECLARATION, HOSTS, LEASE_MS

CHANGED = attrs.evolve(DECLARATION, regions=(Region("fes"), Region("casa")))


def hosts_behind(harness, revision):
    return {
        status.name
        for status in harness.leader.statuses()
        if status.in_force_revision < revision and status.lease_remaining_ms > 0
    }


async def test_a_change_is_in_force_everywhere_within_two_seconds(harness):
    harness.accept_declaration(CHANGED)
    assert hosts_behind(harness, 2) == set(HOSTS)
    await harness.run_ms(2_000)
    assert hosts_behind(harness, 2) == set()
    assert {s.revision for s in harness.sessions.values()} == {2}
    assert all(s.declaration == CHANGED for s in harness.sessions.values())


async def test_a_cut_off_host_counts_as_behind_until_its_lease_expires(harness):
    harness.links["e2"].is_cut = True
    harness.accept_declaration(CHANGED)
    await harness.run_ms(1_000)
    session = harness.sessions["e2"]
    assert session.is_valid()
    assert hosts_behind(harness, 2) == {"e2"}
    await harness.run_ms(LEASE_MS)
    assert not session.is_valid()
    assert hosts_behind(harness, 2) == set()


async def test_a_change_is_not_reported_complete_before_a_cut_off_host_stops(harness):
    harness.links["e2"].is_cut = True
    harness.accept_declaration(CHANGED)
    for _ in range(60):
        await harness.run_ms(100)
        if not hosts_behind(harness, 2):
            assert not harness.sessions["e2"].is_valid()


async def test_an_up_to_date_host_receives_no_tables_and_no_configuration(harness):
    harness.announce()
    await harness.run_ms(1_500)
    reply = harness.links["e3"].replies[-1]
    assert reply.configuration is None
    assert reply.servers == ()
    assert reply.hosts == ()


async def test_a_draining_server_reaches_every_host_and_stays_draining(harness):
    harness.announce(sequence=1)
    await harness.run_ms(1_000)
    assert all("s1" in s.servers for s in harness.sessions.values())
    harness.announce(sequence=2, draining=True)
    await harness.run_ms(1_000)
    harness.announce(sequence=3, draining=False, host="e2")
    await harness.run_ms(1_000)
    assert all(s.servers["s1"].draining for s in harness.sessions.values())
    assert all(s.holder.free_slots("s1") == 0 for s in harness.sessions.values())


async def test_an_outdated_announcement_is_ignored(harness):
    harness.announce(sequence=5)
    await harness.run_ms(500)
    harness.announce(sequence=4, draining=True, host="e2")
    await harness.run_ms(500)
    assert not harness.sessions["e1"].servers["s1"].draining


async def test_a_server_that_stops_announcing_is_removed(harness):
    harness.announce()
    await harness.run_ms(1_000)
    await harness.run_ms(3_500)
    assert all("s1" not in s.servers for s in harness.sessions.values())


async def test_a_planned_drain_marks_servers_and_hosts(harness):
    harness.announce()
    await harness.run_ms(1_000)
    drain = Drain("d", DrainTarget.AVAILABILITY_ZONE, "fes-a")
    harness.accept_declaration(DECLARATION, (drain,))
    await harness.run_ms(1_000)
    session = harness.sessions["e3"]
    assert session.servers["s1"].draining
    assert {name for name, host in session.hosts.items() if host.draining} == set(HOSTS)


async def test_a_new_leader_preserves_servers_and_shares(harness):
    harness.announce()
    await harness.run_ms(1_000)
    held = {n: s.holder.held_slots("s1") for n, s in harness.sessions.items()}
    assert sum(held.values()) == 4
    harness.change_leader()
    for sequence in range(2, 12):
        harness.announce(sequence=sequence)
        await harness.run_ms(300)
        for name, session in harness.sessions.items():
            assert session.is_valid()
            assert session.holder.held_slots("s1") == held[name]


async def test_a_reply_of_an_older_revision_is_discarded(harness):
    harness.accept_declaration(CHANGED)
    await harness.run_ms(1_000)
    harness.revision = 0
    harness.accept_declaration(DECLARATION)
    harness.change_leader()
    await harness.run_ms(1_000)
    assert {s.revision for s in harness.sessions.values()} == {2}
    assert all(s.declaration == CHANGED for s in harness.sessions.values())


async def test_a_host_that_stops_reporting_is_removed_from_the_host_table(harness):
    assert set(harness.sessions["e1"].hosts) == set(HOSTS)
    harness.links["e3"].is_cut = True
    await harness.run_ms(LEASE_MS + 1_000)
    assert set(harness.sessions["e1"].hosts) == {"e1", "e2"}


async def test_shares_are_preserved_before_servers_announce_to_a_new_leader(harness):
    harness.announce()
    await harness.run_ms(1_000)
    harness.change_leader()
    for _ in range(10):
        await harness.run_ms(100)
        held = [s.holder.held_slots("s1") for s in harness.sessions.values()]
        assert sum(held) == 4
        assert all("s1" in session.servers for session in harness.sessions.values())
