import pytest

from bulrushlead.coordinator import (
    AcceptPlan,
    EndEvacuation,
    OrderState,
    RecordDeparture,
    StartEvacuation,
)
from bulrushlead.coordinator._state import MAX_DEPARTURES
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.traffic import Organisation, TrafficPlan
from bulrushlead.wire import codec


class StateHarness:
    def __init__(self):
        self.state = OrderState()
        self.index = 0

    def apply(self, command):
        self.index += 1
        return codec.decode(self.state.apply(self.index, codec.encode(command))).changed


@pytest.fixture
def harness():
    return StateHarness()


def plan(version, document=b"{}"):
    return AcceptPlan(TrafficPlan(version), document)


def test_the_plan_with_the_highest_version_stays_in_force(harness):
    assert harness.apply(plan(7))
    assert not harness.apply(plan(4))
    assert harness.apply(plan(9))
    assert harness.state.plan.version == 9


def test_other_content_under_the_same_version_changes_nothing(harness):
    harness.apply(plan(7, b"first"))
    assert not harness.apply(plan(7, b"second"))
    assert harness.state.document == b"first"


def test_a_command_that_was_held_up_undoes_no_later_one(harness):
    """Guards against an old order that withdraws an acknowledged evacuation."""
    assert harness.apply(StartEvacuation("a", 0))
    held_up = EndEvacuation("a", harness.index)
    assert harness.apply(EndEvacuation("a", harness.index))
    assert harness.apply(StartEvacuation("a", harness.index))
    assert not harness.apply(held_up)
    assert harness.state.evacuated_zones == {"a"}
    restored = StateHarness()
    restored.state.restore(harness.state.snapshot())
    restored.index = harness.index
    assert not restored.apply(held_up)
    assert restored.apply(EndEvacuation("a", harness.index))


def test_a_held_up_command_undoes_no_acknowledgement_without_a_change(harness):
    """Guards against an old end of an evacuation after a start that changed nothing."""
    harness.apply(StartEvacuation("a", 0))
    held_up = EndEvacuation("a", harness.index)
    assert not harness.apply(StartEvacuation("a", harness.index))
    assert not harness.apply(held_up)
    assert harness.state.evacuated_zones == {"a"}


def test_a_held_up_start_does_not_evacuate_again(harness):
    held_up = StartEvacuation("a", 0)
    harness.apply(StartEvacuation("a", 0))
    harness.apply(EndEvacuation("a", harness.index))
    assert not harness.apply(held_up)
    assert harness.state.evacuated_zones == set()


def test_commands_of_other_zones_overtake_nothing(harness):
    early = EndEvacuation("a", 1)
    harness.apply(StartEvacuation("a", 0))
    harness.apply(StartEvacuation("b", 1))
    assert harness.apply(early)


def test_commands_of_earlier_builds_are_applied_as_before(harness):
    assert harness.apply(StartEvacuation("a"))
    assert harness.apply(EndEvacuation("a"))


def read_document(document):
    if document == b"later":
        raise BulrushleadError(ResultCode.DECLARATION_INVALID, "unknown")
    return TrafficPlan(7, organisations=(Organisation("labs"),))


def test_a_plan_that_an_older_build_stored_keeps_all_its_fields():
    """Guards against a newer build that knows no organisations after an upgrade."""
    old, new = StateHarness(), OrderState(read_document)
    old.apply(plan(7, b"document"))
    new.restore(old.state.snapshot())
    assert [organisation.name for organisation in new.plan.organisations] == ["labs"]
    from_log = OrderState(read_document)
    from_log.apply(1, codec.encode(plan(7, b"document")))
    assert from_log.plan == new.plan
    assert from_log.document == b"document"


@pytest.mark.parametrize("stored", [plan(7, b"later"), plan(8, b"other"), plan(7, b"")])
def test_a_plan_whose_document_does_not_fit_stays_as_it_was_stored(stored):
    state = OrderState(read_document)
    state.apply(1, codec.encode(stored))
    assert state.plan == stored.plan


def test_a_repeated_evacuation_changes_nothing(harness):
    assert harness.apply(StartEvacuation("a"))
    assert not harness.apply(StartEvacuation("a"))
    assert harness.apply(EndEvacuation("a"))
    assert not harness.apply(EndEvacuation("a"))
    assert harness.state.evacuated_zones == set()


def test_a_departure_covers_its_incarnation_and_earlier_ones(harness):
    harness.apply(RecordDeparture("b1", 5))
    assert harness.state.has_departed("b1", 5)
    assert harness.state.has_departed("b1", 4)
    assert not harness.state.has_departed("b1", 6)
    assert not harness.apply(RecordDeparture("b1", 4))


def test_departures_are_bounded(harness):
    for number in range(MAX_DEPARTURES + 5):
        harness.apply(RecordDeparture(f"b{number}", 1))
    assert len(harness.state.departures) == MAX_DEPARTURES
    assert not harness.state.has_departed("b0", 1)


def test_a_snapshot_restores_the_whole_state(harness):
    for command in (plan(3, b"d"), StartEvacuation("a"), RecordDeparture("b1", 5)):
        harness.apply(command)
    other = OrderState()
    other.restore(harness.state.snapshot())
    assert other.plan == harness.state.plan
    assert other.document == b"d"
    assert other.evacuated_zones == {"a"}
    assert other.has_departed("b1", 5)
    assert other.order_index == 3
