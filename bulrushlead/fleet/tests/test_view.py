import attrs

from bulrushlead.clock import ManualClock
from bulrushlead.fleet import (
    FleetUpdate,
    FleetView,
    ServerRecord,
    ServerState,
    SyncPosition,
)
from bulrushlead.traffic import TrafficPlan

RECORD = ServerRecord(
    "b1", 1_000, "stock", "10.0.0.1:80", "casa-a", 4, ServerState.READY
)
UPDATE = FleetUpdate(term=3, position=SyncPosition("e", 1, order_index=5))


def update(**changes):
    return attrs.evolve(UPDATE, **changes)


def view_with(*updates):
    view = FleetView(ManualClock(1_000.0))
    for item in updates:
        view.apply(item)
    return view


def test_the_plan_version_never_decreases():
    view = view_with(update(plan=TrafficPlan(9)), update(plan=TrafficPlan(4)))
    assert view.plan.version == 9
    assert view.position.plan_version == 9


def test_an_update_of_an_earlier_term_is_dropped():
    view = view_with(update(evacuated_zones=("casa-a",)))
    assert not view.apply(update(term=2, evacuated_zones=()))
    assert view.evacuated_zones == {"casa-a"}


def test_an_older_list_of_evacuations_is_dropped():
    view = view_with(update(evacuated_zones=("casa-a",)))
    view.apply(update(position=SyncPosition("e2", 1, order_index=4)))
    assert view.evacuated_zones == {"casa-a"}


def test_a_partial_update_does_not_remove_unlisted_servers():
    other = attrs.evolve(RECORD, server_id="b2")
    view = view_with(update(servers=(RECORD,), is_full=True))
    view.apply(update(servers=(other,)))
    assert set(view.servers) == {"b1", "b2"}
    view.apply(update(servers=(other,), is_full=True))
    assert set(view.servers) == {"b2"}


def test_a_record_of_an_earlier_incarnation_is_dropped():
    view = view_with(update(servers=(attrs.evolve(RECORD, born_ms=2_000),)))
    view.apply(update(servers=(RECORD,)))
    assert view.servers["b1"].record.born_ms == 2_000


def test_cold_time_is_converted_to_the_local_clock():
    view = view_with(update(servers=(attrs.evolve(RECORD, cold_left_ms=300.0),)))
    assert view.servers["b1"].cold_until_ms == 1_300.0
    assert view.records()[0].cold_left_ms == 300.0


def test_changed_loads_are_merged_and_those_of_another_leader_replaced():
    view = view_with(update(servers=(RECORD,), pressures={"b1": 1.6, "b2": 2.0}))
    view.apply(update(pressures={"b2": 0.0}))
    assert view.fleet_loads == {"b1": 1.6}
    view.apply(update(position=SyncPosition("e2", 1, order_index=5)))
    assert view.fleet_loads == {}


def test_the_load_of_a_removed_server_is_removed():
    view = view_with(update(servers=(RECORD,), pressures={"b1": 1.6}))
    view.apply(update(servers=(attrs.evolve(RECORD, state=ServerState.GONE),)))
    assert view.fleet_loads == {}


def test_changed_owners_are_merged_and_outlive_a_change_of_the_leader():
    """Objects stay cached at their owners while a new leader learns of them."""
    view = view_with(update(servers=(RECORD,), owners={"g": {1: "b1", 2: "b1"}}))
    view.apply(update(owners={"g": {2: "", 3: "b1"}}))
    assert view.owners == {"g": {1: "b1", 3: "b1"}}
    view.apply(update(position=SyncPosition("e2", 1, order_index=5)))
    assert view.owners == {"g": {1: "b1", 3: "b1"}}


def test_times_of_owners_leave_with_them():
    """Guards against times that pile up over changes of the leader."""
    view = view_with(update(servers=(RECORD,)))
    view.apply(update(owners={"g": {1: "b1", 2: "b1", 3: "gone"}}))
    assert set(view.owner_since_ms["g"]) == {1, 2, 3}
    view.apply(update(owners={"g": {2: ""}}))
    view.apply(update(servers=(RECORD,), is_full=True))
    assert set(view.owner_since_ms["g"]) == {1}


def test_full_update_drops_owners_that_were_removed():
    view = view_with(update(servers=(RECORD,), owners={"g": {1: "b1", 2: "gone"}}))
    view.apply(update(servers=(RECORD,), is_full=True))
    assert view.owners == {"g": {1: "b1"}}
