import collections

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushlead.clock import ManualClock
from bulrushlead.placement import MoveReason, OwnerTable, PlacementServer
from bulrushlead.placement import _owners as owners_module
from bulrushlead.placement._owners import (
    DEMAND_HALF_LIFE_MS,
    MAX_MOVES,
    OBJECT_TTL_MS,
    UNDISTURBED_UTILISATION,
)

GROUP = "north/stock"
SLOTS = 4


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def table(clock):
    return OwnerTable(clock)


def build_servers(*names, **options):
    return [PlacementServer(name, GROUP, SLOTS, **options) for name in names]


def published(table):
    return table.owners_since(0).get(GROUP, {})


def work_ms(utilisation):
    """Return work that fills a share of a server's slots when it is reported."""
    return utilisation * SLOTS * DEMAND_HALF_LIFE_MS / 0.6931


def report(table, demand):
    """Record ``demand``: utilisation by object, by server."""
    table.record_demand(
        {
            name: {digest: work_ms(share) for digest, share in objects.items()}
            for name, objects in demand.items()
        }
    )


def owned_by(table):
    return collections.Counter(published(table).values())


def test_object_belongs_to_the_first_server_that_got_a_request(table):
    servers = build_servers("a", "b")
    table.update(servers)
    report(table, {"a": {1: 0.1}})
    report(table, {"b": {1: 0.1}})
    table.update(servers)
    assert published(table) == {1: "a"}


def test_changes_are_published_under_one_revision_by_the_next_update(table):
    servers = build_servers("a", "b")
    table.update(servers)
    report(table, {"a": {1: 0.1}, "b": {2: 0.1}})
    assert table.revision == 0
    table.update(servers)
    assert table.revision == 1
    table.update(servers)
    assert table.revision == 1
    assert table.owners_since(1) == {}


def test_objects_of_a_lost_server_are_spread_over_the_others(table):
    table.update(build_servers("a", "b", "c", "d"))
    report(table, {"a": dict.fromkeys(range(9), 0.05)})
    table.update(build_servers("a", "b", "c", "d"))
    table.update(build_servers("b", "c", "d"))
    assert owned_by(table) == {"b": 3, "c": 3, "d": 3}


def test_object_of_a_lost_server_goes_where_it_is_cached_already(table):
    """Hosts that cannot reach the owner have sent requests to the next server."""
    table.update(build_servers("a", "b", "c"))
    report(table, {"a": {1: 0.1}})
    report(table, {"c": {1: 0.1}})
    table.update(build_servers("b", "c"))
    assert published(table) == {1: "c"}


def test_object_without_known_demand_leaves_the_table_with_its_server(table):
    """A new leader knows no demand: all objects would go to the same server."""
    table.restore({GROUP: dict.fromkeys(range(9), "lost") | {10: "a"}})
    table.update(build_servers("a", "b"))
    assert {d: o for d, o in published(table).items() if o} == {10: "a"}


def test_new_leader_keeps_the_owners_that_were_published(table, clock):
    servers = build_servers("a", "b")
    table.update(servers)
    report(table, {"a": {1: 0.1}, "b": {2: 0.1}})
    table.update(servers)
    successor = OwnerTable(clock)
    successor.restore({GROUP: published(table)})
    successor.update(servers)
    assert published(successor) == published(table)


def test_loaded_server_hands_over_few_objects_at_a_time(table):
    servers = build_servers("a", "b")
    table.update(servers)
    report(table, {"a": dict.fromkeys(range(9), 0.1)})
    table.update(servers)
    assert owned_by(table) == {"a": 9 - MAX_MOVES, "b": MAX_MOVES}


def test_objects_stay_while_their_server_has_free_slots(table):
    servers = build_servers("a", "b")
    table.update(servers)
    share = UNDISTURBED_UTILISATION / 5
    report(table, {"a": dict.fromkeys(range(4), share), "b": {9: share}})
    table.update(servers)
    assert owned_by(table) == {"a": 4, "b": 1}


def test_objects_stay_when_no_server_has_room(table):
    """Pattern: a rush beyond all slots; each move adds work that is not cached."""
    servers = build_servers("a", "b")
    table.update(servers)
    report(
        table,
        {
            "a": dict.fromkeys(range(5), 0.5),
            "b": dict.fromkeys(range(5, 7), 0.5),
        },
    )
    table.update(servers)
    assert owned_by(table) == {"a": 5, "b": 2}


def test_new_server_gets_one_object_once_it_is_warm(table):
    report_servers = build_servers("a")
    table.update(report_servers)
    report(table, {"a": dict.fromkeys(range(6), 0.01)})
    cold = build_servers("new", cold=True)
    table.update(report_servers + cold)
    assert owned_by(table) == {"a": 6}
    table.update(report_servers + build_servers("new"))
    assert owned_by(table) == {"a": 5, "new": 1}
    table.update(report_servers + build_servers("new"))
    assert owned_by(table) == {"a": 5, "new": 1}


def test_objects_prefer_warm_servers(table):
    table.update(build_servers("a", "b"))
    report(table, {"a": {1: 0.1}, "b": {2: 0.1, 3: 0.1}})
    table.update(build_servers("b", "c") + build_servers("d", cold=True))
    assert published(table)[1] == "c"


def test_groups_do_not_share_objects(table):
    other = attrs.evolve(build_servers("x")[0], group="south/stock")
    table.update([*build_servers("a"), other])
    report(table, {"a": {1: 0.9, 2: 0.9}, "x": {1: 0.1}})
    table.update([*build_servers("a"), other])
    assert table.owners_since(0) == {GROUP: {1: "a", 2: "a"}, "south/stock": {1: "x"}}
    table.update([other])
    assert published(table) == {1: "a", 2: "a"}


async def test_object_without_requests_leaves_the_table(table, clock):
    servers = build_servers("a")
    table.update(servers)
    report(table, {"a": {1: 0.1}})
    table.update(servers)
    revision = table.revision
    await clock.advance_ms(OBJECT_TTL_MS + 1)
    table.update(servers)
    assert table.owners_since(revision) == {GROUP: {1: ""}}


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -1.0, 0.0])
def test_invalid_demand_does_not_count(table, value):
    servers = build_servers("a", "b")
    table.update(servers)
    table.record_demand({"a": {1: value}, "unknown": {2: 1.0}})
    report(table, {"b": {3: 0.1}})
    table.update(servers)
    assert 2 not in published(table)
    assert published(table)[3] == "b"


def test_number_of_objects_is_bounded(table, monkeypatch):
    monkeypatch.setattr(owners_module, "MAX_OBJECTS", 5)
    table.update(build_servers("a"))
    report(table, {"a": dict.fromkeys(range(9), 0.01)})
    table.update(build_servers("a"))
    assert len(published(table)) == 5


NAMES = st.sampled_from("abcdef")
STEPS = st.lists(
    st.tuples(
        st.sets(NAMES),
        st.dictionaries(
            NAMES,
            st.dictionaries(
                st.integers(0, 12), st.floats(0.0, 1.0, allow_nan=False), max_size=5
            ),
            max_size=4,
        ),
        st.integers(0, OBJECT_TTL_MS),
    ),
    max_size=12,
)


@given(STEPS)
def test_any_sequence_of_updates_leaves_owners_that_hosts_can_follow(steps):
    """Every owner is usable while any server is, and each host sees the same table."""
    clock = ManualClock()
    table = OwnerTable(clock)
    received, revision = {}, 0
    for names, demand, pause_ms in steps:
        report(table, demand)
        table.update(build_servers(*sorted(names)))
        received.update(table.owners_since(revision).get(GROUP, {}))
        revision = table.revision
        current = {d: o for d, o in published(table).items() if o}
        assert {d: o for d, o in received.items() if o} == current
        if names:
            assert set(current.values()) <= names
        clock._now_ms += pause_ms


def test_update_counts_moves_by_reason(table):
    servers = build_servers("a", "b")
    assert not table.update(servers)
    report(table, {"a": dict.fromkeys(range(9), 0.1)})
    assert table.update(servers) == {MoveReason.OWNER_LOADED: MAX_MOVES}
    assert table.update(build_servers("b")) == {MoveReason.OWNER_LOST: 9 - MAX_MOVES}
    assert table.object_count == 9
