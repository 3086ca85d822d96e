import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushlead.keys import (
    AbandonHost,
    AbandonKey,
    AnswerHeader,
    ClaimKey,
    ClaimState,
    FinishKey,
    ForgetKeys,
    KeyLimits,
    KeyOutcome,
    KeyState,
    ListUnknownKeys,
    ReadKey,
    ResolveKey,
    request_digest,
)
from bulrushlead.wire import message

DIGEST = request_digest("POST", "/orders", b"12 bales")
OTHER = request_digest("POST", "/orders", b"13 bales")


def claim(attempt_id="a1", key="k", digest=DIGEST, host="h1", incarnation="i1"):
    return ClaimKey(key, "stock", digest, host, incarnation, attempt_id)


def finish(outcome, attempt_id="a1", key="k", **answer):
    return FinishKey(key, "stock", attempt_id, outcome, **answer)


ANSWERED = finish(
    KeyOutcome.ANSWERED, status=201, headers=(AnswerHeader("A", "1"),), body=b"booked"
)
NOT_RUN = finish(KeyOutcome.NOT_RUN)
LOST = finish(KeyOutcome.UNKNOWN, note="ANSWER_LOST at stock-7")


@pytest.fixture
def state():
    return KeyState()


def apply_all(state, *commands):
    replies = [state.apply(index, c) for index, c in enumerate(commands, 1)]
    return replies[-1]


def test_only_the_first_attempt_is_granted_also_when_resent(state):
    assert apply_all(state, claim()).state is ClaimState.CLAIMED
    assert state.apply(2, claim()).state is ClaimState.CLAIMED
    reply = state.apply(3, claim("a2", host="h2"))
    assert (reply.state, reply.host, reply.attempt_id) == (
        ClaimState.IN_PROGRESS,
        "h1",
        "a1",
    )


def test_a_resend_gets_the_recorded_answer(state):
    reply = apply_all(state, claim(), ANSWERED, claim("a2", host="h2"))
    assert (reply.state, reply.status, reply.body) == (
        ClaimState.FINISHED,
        201,
        b"booked",
    )
    assert reply.headers == ANSWERED.headers


@pytest.mark.parametrize("end", [None, ANSWERED, LOST, NOT_RUN])
def test_another_request_with_the_key_is_refused(state, end):
    commands = [claim()] + ([end] if end else [])
    reply = apply_all(state, *commands, claim("a2", digest=OTHER))
    assert reply.state is ClaimState.REUSED


@pytest.mark.parametrize("outcome", list(KeyOutcome))
def test_the_first_recorded_answer_stays(state, outcome):
    second = finish(outcome, status=500, body=b"other")
    reply = apply_all(state, claim(), ANSWERED, second, claim("a2"))
    assert (reply.state, reply.body) == (ClaimState.FINISHED, b"booked")


def test_a_key_whose_request_did_not_run_can_be_claimed_again(state):
    assert apply_all(state, claim(), NOT_RUN, claim("a2")).state is ClaimState.CLAIMED


def test_a_claim_that_arrives_after_its_outcome_is_refused(state):
    assert apply_all(state, NOT_RUN, claim()).state is ClaimState.ATTEMPT_OVER
    assert state.apply(3, claim("a2")).state is ClaimState.CLAIMED


def test_an_outcome_of_another_attempt_changes_nothing(state):
    late = apply_all(state, claim(), NOT_RUN, claim("a2"), ANSWERED)
    assert not late.applied
    assert state.apply(5, claim("a3")).attempt_id == "a2"


def test_a_lost_outcome_is_listed_and_never_run_again(state):
    reply = apply_all(state, claim(), LOST, claim("a2"))
    assert (reply.state, reply.note) == (ClaimState.UNKNOWN, "ANSWER_LOST at stock-7")
    listed = state.apply(4, ListUnknownKeys())
    assert [(k.key, k.attempt_id, k.note) for k in listed.keys] == [
        ("k", "a1", "ANSWER_LOST at stock-7")
    ]


def test_a_late_answer_of_the_holder_replaces_unknown(state):
    apply_all(state, claim(), AbandonKey("k", "stock", "a1"), ANSWERED)
    assert state.apply(4, claim("a2")).body == b"booked"
    assert state.list_unknown() == ()


def test_abandoning_changes_only_the_named_attempt(state):
    reply = apply_all(
        state, claim(), NOT_RUN, claim("a2"), AbandonKey("k", "stock", "a1")
    )
    assert not reply.applied
    assert state.apply(5, claim("a3")).state is ClaimState.IN_PROGRESS


def test_former_attempts_of_a_host_are_abandoned_together(state):
    reply = apply_all(
        state,
        claim("a1", "k1"),
        claim("a2", "k2", incarnation="i2"),
        claim("a3", "k3", host="h2"),
        AbandonHost("h1", live_incarnation="i2"),
    )
    assert reply.count == 1
    assert [key.key for key in state.list_unknown("stock")] == ["k1"]


@pytest.mark.parametrize(
    ("ran", "expected"),
    [(True, ClaimState.ANSWER_NOT_KEPT), (False, ClaimState.CLAIMED)],
)
def test_an_operator_resolves_an_unknown_key(state, ran, expected):
    resolve = ResolveKey("k", "stock", "a1", ran, note="seen in the order book")
    assert not apply_all(state, claim(), resolve).applied
    assert apply_all(state, LOST, resolve).applied
    assert state.apply(5, claim("a2")).state is expected


def test_a_late_answer_overrides_a_wrong_resolution_before_a_new_claim(state):
    resolve = ResolveKey("k", "stock", "a1", ran=False)
    reply = apply_all(state, claim(), LOST, resolve, ANSWERED, claim("a2"))
    assert reply.body == b"booked"


def test_a_key_with_an_evicted_answer_is_spent():
    state = KeyState(KeyLimits(answered_keys=1))
    for number in range(3):
        key = f"k{number}"
        state.apply(number, claim(f"a{number}", key))
        state.apply(number, finish(KeyOutcome.ANSWERED, f"a{number}", key))
    snapshot, state = state.snapshot(), KeyState(state.limits)
    state.restore(snapshot)
    states = [state.apply(9, claim("b", f"k{n}")).state for n in range(3)]
    assert states == [
        ClaimState.ANSWER_NOT_KEPT,
        ClaimState.ANSWER_NOT_KEPT,
        ClaimState.FINISHED,
    ]
    assert state.read(ReadKey("k0", "stock", DIGEST)).state is states[0]


@pytest.mark.parametrize("kind", ["one_answer_bytes", "answer_bytes"])
def test_answers_are_bounded_in_bytes(kind):
    state = KeyState(KeyLimits(**{kind: 5}))
    assert apply_all(state, claim(), ANSWERED, claim("a2")).state is (
        ClaimState.ANSWER_NOT_KEPT
    )


def test_open_keys_are_refused_over_their_bound_and_never_evicted():
    state = KeyState(KeyLimits(open_keys=1))
    apply_all(state, claim(), LOST)
    assert state.apply(3, claim("a2", "k2")).state is ClaimState.FULL
    assert state.apply(4, claim("a3")).state is ClaimState.UNKNOWN


def test_spent_keys_are_refused_over_their_bound_until_forgotten(monkeypatch):
    monkeypatch.setattr("bulrushlead.keys._spent.BLOCK_KEYS", 2)
    state = KeyState(KeyLimits(answered_keys=1, spent_keys=5))
    for number in range(5):
        key = f"k{number}"
        assert state.apply(1, claim("a", key)).state is ClaimState.CLAIMED
        state.apply(2, finish(KeyOutcome.ANSWERED, "a", key))
    assert state.apply(3, claim("b", "k5")).state is ClaimState.FULL
    assert state.apply(4, claim("b", "k0")).state is ClaimState.ANSWER_NOT_KEPT
    assert state.apply(5, ForgetKeys("stock", keep=2)).count == 2
    assert state.apply(6, claim("b", "k5")).state is ClaimState.CLAIMED
    assert state.apply(7, claim("b", "k2")).state is ClaimState.ANSWER_NOT_KEPT


def test_released_keys_do_not_evict_answers():
    state = KeyState(KeyLimits(answered_keys=1, released_keys=1))
    apply_all(state, claim(), ANSWERED)
    for number in range(5):
        state.apply(3, claim(f"b{number}", f"other{number}"))
        state.apply(4, finish(KeyOutcome.NOT_RUN, f"b{number}", f"other{number}"))
    assert state.apply(5, claim("a2")).state is ClaimState.FINISHED


def test_a_command_of_another_package_is_refused(state):
    @message("test.keys_foreign")
    class Foreign:
        pass

    with pytest.raises(TypeError, match="Foreign"):
        state.apply(1, Foreign())


names = st.sampled_from(["k1", "k1", "k1", "k2"])
attempts = st.sampled_from(["a1", "a2", "a3"])
outcomes = st.sampled_from(list(KeyOutcome))
commands = st.one_of(
    st.builds(
        ClaimKey,
        names,
        st.just("stock"),
        st.sampled_from([DIGEST, DIGEST, DIGEST, OTHER]),
        st.sampled_from(["h1", "h2"]),
        st.just("i1"),
        attempts,
    ),
    st.builds(
        FinishKey,
        names,
        st.just("stock"),
        attempts,
        outcomes,
        st.just(200),
        body=st.binary(min_size=1, max_size=4),
    ),
    st.builds(AbandonKey, names, st.just("stock"), attempts),
    st.builds(AbandonHost, st.sampled_from(["h1", "h2"])),
    st.builds(ResolveKey, names, st.just("stock"), attempts, st.booleans()),
    st.builds(ReadKey, names, st.just("stock"), st.just(DIGEST)),
)


@given(st.lists(commands, max_size=40), st.integers(0, 40))
def test_any_commands_run_a_key_at_most_once(sequence, restart_at):
    state = KeyState(KeyLimits(answered_keys=1, released_keys=100))
    twin = KeyState(KeyLimits(answered_keys=1, released_keys=100))
    holder, answers = {}, {}
    for index, command in enumerate(sequence):
        if index == restart_at:
            twin.restore(twin.snapshot())
        reply = state.apply(index, command)
        assert twin.apply(index, command) == reply
        if isinstance(command, ClaimKey) and reply.state is ClaimState.CLAIMED:
            # Whoever is granted the key is its only holder since the last release.
            assert holder.setdefault(command.key, command.attempt_id) == (
                command.attempt_id
            )
        elif isinstance(command, ClaimKey) and reply.state is ClaimState.FINISHED:
            assert answers.setdefault(command.key, reply.body) == reply.body
        elif _releases(command, reply):
            holder.pop(command.key, None)
    assert twin.snapshot() == state.snapshot()


def _releases(command, reply):
    if isinstance(command, FinishKey):
        return command.outcome is KeyOutcome.NOT_RUN and reply.count == 1
    return isinstance(command, ResolveKey) and not command.ran and reply.count == 1
