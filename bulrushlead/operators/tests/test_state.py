"""State machine of the configuration, without a log or a network.

The tests guard against changes that are accepted twice, revisions that decrease and
replicas whose states differ after a snapshot.
"""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushlead.declaration import Declaration, Region
from bulrushlead.operators import (
    ApplyDeclaration,
    ApplyReply,
    ConfigurationSnapshot,
    ConfigurationState,
)
from bulrushlead.operators._servicer import MAX_COMMAND_BYTES
from bulrushlead.operators.tests.samples import BASE, with_percent_cap
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import MAX_MESSAGE_BYTES, codec


def make_command(request_id, expected, declaration=BASE, **fields):
    return ApplyDeclaration(request_id, expected, declaration, **fields)


def state_after(*commands, **settings):
    state = ConfigurationState(**settings)
    for index, command in enumerate(commands, 1):
        state.apply(index, command)
    return state


def numbered_command(number):
    return make_command(f"r{number}", number, Declaration((Region(f"n{number}"),)))


def test_one_change_is_accepted_for_each_expected_revision():
    state = state_after(make_command("a", 0))
    first = state.apply(2, make_command("b", 1, with_percent_cap(20), author="ana"))
    second = state.apply(3, make_command("c", 1, with_percent_cap(30), author="omar"))
    assert first == ApplyReply(2)
    assert (second.code, second.revision) == (ResultCode.REVISION_CONFLICT, 2)
    assert "expected revision 1, the accepted one is 2" in second.detail
    assert second.differences == (
        "revision 2 by ana: ~ shifts.relief: percent_cap: 10.0 -> 20.0",
    )
    assert state.current.declaration == with_percent_cap(20)


def test_expected_revision_ahead_is_a_conflict():
    state = state_after(make_command("a", 0))
    reply = state.apply(2, make_command("b", 2, with_percent_cap(20)))
    assert (reply.code, reply.differences) == (ResultCode.REVISION_CONFLICT, ())


def test_retried_change_gets_the_original_reply():
    state = state_after(
        make_command("a", 0), make_command("b", 1, with_percent_cap(20))
    )
    assert state.apply(3, make_command("a", 0)) == ApplyReply(1)
    assert state.current.revision == 2
    assert [entry.revision for entry in state.history()] == [2, 1]


@pytest.mark.parametrize(
    "other",
    [
        make_command("a", 0, with_percent_cap(20)),
        make_command("a", 1),
        make_command("a", 0, force=True),
        make_command("a", 0, author="omar"),
    ],
)
def test_request_id_with_other_content_is_refused(other):
    state = state_after(make_command("a", 0))
    reply = state.apply(2, other)
    assert reply.code == ResultCode.REQUEST_ID_REUSED
    assert "became revision 1" in reply.detail
    assert state.current.revision == 1


def test_integer_and_equal_float_are_the_same_change():
    with_integers = make_command("a", 0, with_percent_cap(20))
    decoded = codec.decode(codec.encode(with_integers))
    state = state_after(with_integers)
    assert state.apply(2, decoded) == ApplyReply(1)
    other = state_after(decoded)
    assert codec.encode(state.snapshot()) == codec.encode(other.snapshot())


def test_remembered_changes_are_bounded_and_evicted_ones_refused():
    commands = [numbered_command(number) for number in range(10)]
    state = state_after(*commands, max_remembered_changes=3, max_history_entries=4)
    snapshot = state.snapshot()
    assert [item.request_id for item in snapshot.remembered] == ["r7", "r8", "r9"]
    assert [entry.revision for entry in state.history()] == [10, 9, 8, 7]
    for command in commands[:7]:
        assert state.apply(11, command).code == ResultCode.REVISION_CONFLICT
    for command in commands[7:]:
        assert state.apply(11, command).accepted
    assert state.current.revision == 10


def test_conflict_reports_where_the_history_starts():
    state = state_after(*map(numbered_command, range(10)), max_history_entries=2)
    reply = state.apply(11, make_command("z", 3))
    assert reply.differences[0] == "changes before revision 9 are no longer kept"
    assert len(reply.differences) == 5


def test_snapshot_preserves_replies_history_and_bounds():
    state = state_after(*map(numbered_command, range(5)), max_remembered_changes=3)
    restored = ConfigurationState(max_remembered_changes=3)
    restored.restore(codec.decode(codec.encode(state.snapshot())))
    assert restored.snapshot() == state.snapshot()
    assert restored.apply(6, numbered_command(4)) == ApplyReply(5)
    assert restored.apply(6, numbered_command(5)) == state.apply(6, numbered_command(5))
    assert restored.snapshot() == state.snapshot()


def test_older_snapshot_is_refused():
    state = state_after(make_command("a", 0))
    with pytest.raises(BulrushleadError, match="would revert"):
        state.restore(ConfigurationSnapshot(ConfigurationState().current))
    assert state.current.revision == 1


def test_listeners_receive_accepted_changes_only():
    state = ConfigurationState()
    received = []
    state.add_listener(received.append)
    state.apply(1, make_command("a", 0))
    state.apply(2, make_command("a", 0))
    state.apply(3, make_command("b", 0))
    state.remove_listener(received.append)
    state.apply(4, make_command("c", 1))
    assert [accepted.revision for accepted in received] == [1]


def test_largest_snapshot_fits_one_message():
    """A snapshot at every limit stays under the message limit of 4 MiB.

    It contains the largest declaration, a full history and all remembered changes.
    """
    state = ConfigurationState()
    largest_declaration = Declaration(
        tuple(Region("x" * 200 + f"{i:06}") for i in range(4_660))
    )
    largest_command = attrs.evolve(
        make_command("i" * 64, 0, largest_declaration),
        author="a" * 64,
        summary=("s" * 160,) * 20,
    )
    assert 0.95 < len(codec.encode(largest_command)) / MAX_COMMAND_BYTES <= 1
    for number in range(10_100):
        request_id = f"{number:064}"
        command = attrs.evolve(
            largest_command,
            request_id=request_id,
            expected_revision=number,
            digest=request_id.encode()[-16:],
        )
        assert state.apply(number + 1, command).accepted
    assert len(codec.encode(state.snapshot())) < MAX_MESSAGE_BYTES


COMMANDS = st.builds(
    ApplyDeclaration,
    request_id=st.sampled_from(["a", "b", "c", "d"]),
    expected_revision=st.integers(0, 4),
    declaration=st.integers(0, 3).map(with_percent_cap),
    author=st.sampled_from(["ana", "omar"]),
)


# Each revision is accepted once, a retry changes nothing, and a replica restored from
# a snapshot replies like the original one.
@given(st.lists(COMMANDS, max_size=25), st.integers(0, 25))
def test_any_order_of_changes_keeps_the_rules(commands, snapshot_at):
    state, replica = ConfigurationState(), ConfigurationState()
    accepted = {}
    for index, command in enumerate(commands, 1):
        before = state.current.revision
        reply = state.apply(index, command)
        if index == snapshot_at:
            replica.restore(state.snapshot())
        elif index > snapshot_at:
            assert replica.apply(index, command) == reply
        if reply.accepted and command.request_id in accepted:
            assert accepted[command.request_id] == (command, reply)
            assert state.current.revision == before
        elif reply.accepted:
            accepted[command.request_id] = (command, reply)
            assert command.expected_revision == before
            assert reply.revision == state.current.revision == before + 1
        else:
            assert state.current.revision == before
    if snapshot_at <= len(commands):
        assert replica.snapshot() == state.snapshot()


def test_long_summaries_are_truncated():
    regions = tuple(Region(f"n{number:03}" + "x" * 200) for number in range(30))
    (entry,) = state_after(make_command("a", 0, Declaration(regions))).history()
    assert len(entry.summary) == 20
    assert entry.summary[-1] == "... and 11 more"
    assert max(map(len, entry.summary)) == 160
