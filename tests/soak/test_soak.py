"""Short seeded runs of the soak, and tests of its invariant checker.

Longer runs are started by ``python -m tests.soak``. A checker that misses a violation
would let every run pass, so the tests below feed violations to it.
"""

import asyncio
import random

import pytest
from multidict import CIMultiDict

from tests.soak.checker import InvariantChecker, expected_body
from tests.soak.harness import Harness
from tests.soak.organisations import LASTING, tenants
from tests.soak.processes import ROOT

# Every seed that has ever failed is listed here with its cause.
SEEDS = [
    1,  # random faults; has never failed
    2,  # gateways that are cut off (every fourth seed); refused what a cut had lost
    4,  # planned work only (every fourth seed)
    5,  # requests that crash servers (every eighth seed)
]
FAULT_DURATION_S = 6.0
LOGS = ROOT / "build" / "soak"  # of runs that fail


@pytest.mark.timeout(180)
@pytest.mark.parametrize("seed", SEEDS)
def test_invariants_hold_under_random_faults(seed):
    harness = Harness(seed, FAULT_DURATION_S, logs=LOGS)
    violations = asyncio.run(harness.run())
    assert violations == [], harness.history


def check_cut(checker, clock, tries):
    """Check a cut of host ``a`` with tries given as host and status."""
    cut = checker.record_cut(["a"])
    clock.now_s += 4.5
    for number, (host, status) in enumerate(tries):
        checker.record_request(f"c{number}", False, host).status = status
    clock.now_s += 1.0
    checker.record_cut_end(cut)
    checker.check_cut(cut, True)


def test_first_tries_that_fail_at_cut_off_hosts_are_reported(checker, clock):
    check_cut(checker, clock, [("a", 503)] * 20 + [("b", 200)] * 20)
    assert violated_invariants(checker) == ["RECOVER"]


def test_few_failures_at_cut_off_hosts_are_tolerated(checker, clock):
    check_cut(checker, clock, [("a", 503)] * 10 + [("b", 200)] * 20)
    assert violated_invariants(checker) == []


class Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def checker(clock):
    checker = InvariantChecker(clock)
    checker.record_request("r1", True, "host")
    return checker


def violated_invariants(checker):
    return [line.split()[0] for line in checker.violations]


def test_second_run_of_unsafe_request_is_reported(checker):
    checker.record_run("s1", "r1")
    checker.record_run("s2", "r1")
    assert violated_invariants(checker) == ["TWICE"]


def run_with_key(checker, clock, version, tenant="labs", name="labs", **extra):
    checker.record_plan_acked(version + 1)
    checker.organisations.sent["r1"] = (name, version)
    headers = CIMultiDict({"Tenant": tenant, **extra})
    checker.organisations.record_run("r1", headers)


def test_a_run_with_the_callers_key_or_another_organisation_is_reported(checker, clock):
    run_with_key(checker, clock, 5)
    assert violated_invariants(checker) == []
    run_with_key(checker, clock, 5, **{"api-key": "labs-key-5"})
    run_with_key(checker, clock, 5, tenant="mills")
    assert violated_invariants(checker) == ["UNASKED", "UNASKED"]


def test_a_run_with_a_key_that_never_existed_is_reported(checker, clock):
    run_with_key(checker, clock, -1_000)
    assert "ROUTE" in violated_invariants(checker)


def test_a_run_with_a_key_that_was_withdrawn_long_ago_is_reported(checker, clock):
    checker.record_plan_acked(8)
    clock.now_s += 4.9
    checker.record_request("r1", False, "host")
    run_with_key(checker, clock, 5)
    assert violated_invariants(checker) == []
    clock.now_s += 0.2
    checker.record_request("r1", False, "host")
    run_with_key(checker, clock, 5)
    assert violated_invariants(checker) == ["CONFIG"]


def test_runs_beyond_a_quota_are_reported(checker, clock):
    for number in range(60):
        request_id = f"m{number}"
        checker.record_request(request_id, False, "host")
        checker.organisations.sent[request_id] = ("mills", 1)
        headers = CIMultiDict({"Tenant": "mills"})
        checker.organisations.record_run(request_id, headers)
    # 6 a second for 5 s, a burst of 3, a tenth of it, and 20 more.
    assert violated_invariants(checker) == ["QUOTA"] * (60 - 56)


def test_a_late_second_run_is_no_error_of_the_quota(checker, clock):
    """Guards against an IndexError in a server of a busy run (seed 21)."""
    for _ in range(2):
        checker.organisations.sent["r1"] = ("mills", 1)
        checker.organisations.record_run("r1", CIMultiDict({"Tenant": "mills"}))
        clock.now_s += 5.1
    assert violated_invariants(checker) == []


def test_a_valid_key_that_is_rejected_is_reported(checker, clock):
    checker.record_plan_sent(5, {})
    checker.organisations.sent["r1"] = ("labs", 5)
    checker.record_answer("r1", 401, b"", None)
    checker.record_answer("r1", 429, b"", None)
    assert violated_invariants(checker) == ["DENIED", "DENIED"]
    checker.record_plan_sent(8, {})
    checker.record_answer("r1", 401, b"", None)
    assert len(checker.violations) == 2


def test_refusal_after_run_is_reported(checker):
    checker.record_run("s1", "r1")
    checker.record_answer("r1", 503, b"", None)
    assert violated_invariants(checker) == ["REFUSED"]


def test_run_after_refusal_is_reported(checker):
    checker.record_answer("r1", 429, b"", None)
    checker.record_run("s1", "r1")
    assert violated_invariants(checker) == ["REFUSED"]


def test_truncated_body_is_reported(checker):
    checker.record_run("s1", "r1")
    checker.record_answer("r1", 200, expected_body("s1", "r1")[:-1], "r1")
    assert violated_invariants(checker) == ["MIXED"]


def test_answer_to_another_request_is_reported(checker):
    checker.record_run("s1", "r1")
    checker.record_answer("r1", 200, expected_body("s1", "r1"), "r2")
    assert violated_invariants(checker) == ["MIXED"]


def test_request_without_caller_is_reported(checker):
    checker.record_arrival("s1", "r7")
    assert violated_invariants(checker) == ["UNASKED"]


def test_late_request_to_drained_server_is_reported(checker, clock):
    checker.record_departure("s1")
    clock.now_s += 2.0
    checker.record_arrival("s1", "r1")
    assert violated_invariants(checker) == []
    clock.now_s += 1.0
    checker.record_arrival("s1", "r1")
    assert violated_invariants(checker) == ["DRAIN"]


def test_attempts_on_too_many_servers_are_reported(checker):
    checker.record_request("r2", False, "host")
    for server in ("s1", "s2", "s3"):
        checker.record_run(server, "r2")
    assert violated_invariants(checker) == ["BUDGET"]


def test_stale_configuration_is_reported(checker, clock):
    document = {"version": 4}
    checker.record_plan_sent(4, document)
    checker.record_plan_sent(9, {"version": 9})
    checker.record_plan_acked(9)
    clock.now_s += 3.0
    checker.check_plan_read(clock.now_s, document)
    assert violated_invariants(checker) == ["CONFIG"]
    checker.check_after_recovery(document)
    assert "LOST" in violated_invariants(checker)


def test_changed_content_of_a_version_is_reported(checker, clock):
    for mark in (1, 2):
        checker.record_plan_sent(4, {"version": 4, "mark": mark})
    checker.check_plan_read(clock.now_s, {"version": 4, "mark": 1})
    assert violated_invariants(checker) == []
    checker.check_plan_read(clock.now_s, {"version": 4, "mark": 2})
    assert violated_invariants(checker) == ["CONFIG"]


def test_lost_answer_without_recent_fault_is_reported(checker):
    checker.record_run("s1", "r1")
    checker.record_failed_request(checker.requests["r1"], "ServerDisconnectedError")
    assert violated_invariants(checker) == ["LOST"]


@pytest.mark.parametrize(
    ("age_s", "cause", "violated"),
    [
        (0.6, "ServerDisconnectedError", ["LOST"]),
        (0.4, "ServerDisconnectedError", []),
        (0.6, "TimeoutError", []),
        (0.6, "ClientConnectorError", []),
    ],
)
def test_a_request_that_was_read_and_not_answered_is_reported(
    checker, clock, age_s, cause, violated
):
    clock.now_s += age_s
    checker.record_failed_request(checker.requests["r1"], cause)
    assert violated_invariants(checker) == violated


def test_lost_answer_during_fault_is_allowed(checker):
    checker.record_fault()
    checker.record_run("s1", "r1")
    checker.record_failed_request(checker.requests["r1"], "ServerDisconnectedError")
    assert violated_invariants(checker) == []


def test_deployment_that_does_not_recover_is_reported(checker, clock):
    checker.record_plan_sent(1, {"version": 1})
    checker.faults_ended_s = clock.now_s
    clock.now_s += 20.0
    for number in range(40):
        checker.record_request(f"q{number}", False, "host")
        checker.record_answer(f"q{number}", 503, b"", None)
    checker.check_after_recovery({"version": 1})
    assert violated_invariants(checker) == ["RECOVER"]


def test_host_that_is_not_ready_is_reported(checker):
    checker.check_readiness("edge-0", True)
    checker.check_readiness("edge-1", False)
    assert violated_invariants(checker) == ["RECOVER"]


def test_exceeded_grace_without_recent_fault_is_reported(checker, clock):
    checker.record_grace_exceeded("core-0")
    assert violated_invariants(checker) == ["GRACE"]
    checker.record_fault()
    checker.record_grace_exceeded("core-1")
    assert violated_invariants(checker) == ["GRACE"]


async def test_concurrent_starts_run_one_process(tmp_path, monkeypatch):
    """Two faults may start the same host at the same time.

    Without a lock, the reference to one process was lost. That process was never
    killed, kept its address, and served requests of later runs.
    """
    started = []

    class Process:
        returncode = None

    async def spawn(*command, **options):
        await asyncio.sleep(0)
        started.append(Process())
        return started[-1]

    monkeypatch.setattr(asyncio, "create_subprocess_exec", spawn)
    harness = Harness(1, 0.0)
    host = harness.edges[0]
    await asyncio.gather(host.start(), host.start())
    assert started == [host.process]
    harness._folder.cleanup()


def test_requests_beyond_a_limit_are_reported(checker, clock):
    checker.record_limit("s1", 2.0)
    checker.record_limited_answer("s1", "r1")
    clock.now_s += 1.0
    for _ in range(18):
        checker.record_arrival("s1", "r1")
    assert violated_invariants(checker) == ["LIMIT"]


def test_requests_beyond_a_withdrawn_limit_are_allowed(checker, clock):
    checker.record_limit("s1", 2.0)
    checker.record_limited_answer("s1", "r1")
    clock.now_s += 1.0
    checker.record_limit("s1", None)
    clock.now_s += 0.1
    for _ in range(40):
        checker.record_arrival("s1", "r1")
    assert violated_invariants(checker) == []


def test_only_requests_whose_key_stays_must_be_served(checker):
    """Guards against requests counted as lost whose key was withdrawn (seed 2).

    A caller learns later than a host that changes one after the other have withdrawn
    its key. All of 36 tries at hosts in touch were then refused with 401.
    """
    rng = random.Random(1)
    checker.acked = [(-10.0, 1)]
    for number in range(1000):
        key, is_served = checker.organisations.choose_key(rng, f"r{number}")
        in_all_versions = all(
            key in tenants(version)[0]["spec"]["apiKeys"] for version in (1, 2, 9)
        )
        assert is_served == in_all_versions


def test_refusal_of_a_key_that_stays_is_reported(checker):
    checker.record_request("r1", False, "host")
    checker.organisations.sent["r1"] = ("labs", LASTING)
    checker.versions[9].append({})
    checker.organisations.record_answer("r1", 401)
    assert violated_invariants(checker) == ["DENIED"]


def crash_three(checker, clock):
    checker.record_crashing_arrival("/read/bad")
    for _ in range(3):
        checker.record_crash("/read/bad")
    clock.now_s += 4.5


def test_a_request_that_goes_on_to_crash_servers_is_reported(checker, clock):
    crash_three(checker, clock)
    for _ in range(3):
        checker.record_crashing_arrival("/read/bad")
    assert violated_invariants(checker) == []
    checker.record_crashing_arrival("/read/bad")
    assert violated_invariants(checker) == ["BUDGET"]


def test_requests_that_are_refused_beside_one_that_crashes_servers_are_reported(
    checker, clock
):
    started_s = clock.now_s
    crash_three(checker, clock)
    for number in range(20):
        checker.record_request(f"q{number}", False, "host").status = (
            503 if number < 3 else 200
        )
    clock.now_s += 1.0
    checker.check_crashing("/read/bad", started_s, clock.now_s)
    assert violated_invariants(checker) == ["BUDGET"]
