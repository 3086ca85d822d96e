"""Safety under random schedules of faults.

``BULRUSHLEAD_SCHEDULES=5000 BULRUSHLEAD_FIRST_SEED=1000`` runs the seeds 1000 to
5999. The message of a failure includes its seed.
"""

import asyncio
import os

import pytest
import uvloop

from bulrushlead.replication.tests.close_turnover_schedule import CloseTurnoverSchedule
from bulrushlead.replication.tests.disks_schedule import DisksSchedule
from bulrushlead.replication.tests.schedule import Schedule
from bulrushlead.replication.tests.turnover_schedule import TurnoverSchedule

GROUPS = 10
SCHEDULES = int(os.environ.get("BULRUSHLEAD_SCHEDULES", "200"))
REGRESSION_SEEDS = (12844, 22743, 50970)  # seeds that exposed a fault
FIRST_SEED = int(os.environ.get("BULRUSHLEAD_FIRST_SEED", "0"))


async def run_schedule(seed, kind=Schedule):
    schedule = kind(seed)
    try:
        await schedule.run()
    except Exception as error:
        pytest.fail(f"seed {seed}: {error!r}")
    finally:
        await schedule.cluster.close()


@pytest.mark.timeout(max(120, SCHEDULES))
@pytest.mark.parametrize("group", range(GROUPS))
def test_random_faults_preserve_safety(group):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        for seed in range(FIRST_SEED + group, FIRST_SEED + SCHEDULES, GROUPS):
            runner.run(run_schedule(seed))


@pytest.mark.timeout(max(120, SCHEDULES))
@pytest.mark.parametrize("group", range(GROUPS))
def test_replaced_hosts_preserve_safety_and_leave(group):
    """Guards against rules of membership that lose a change or keep a lost voter."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        for seed in range(FIRST_SEED + group, FIRST_SEED + SCHEDULES // 2, GROUPS):
            runner.run(run_schedule(seed, TurnoverSchedule))


@pytest.mark.timeout(max(120, SCHEDULES))
@pytest.mark.parametrize("group", range(GROUPS))
def test_close_losses_leave_a_leader_and_all_changes(group):
    """Guards against replaced hosts after which nobody leads for good (issue 45)."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        for seed in range(FIRST_SEED + group, FIRST_SEED + SCHEDULES // 20, GROUPS):
            runner.run(run_schedule(seed, CloseTurnoverSchedule))


@pytest.mark.timeout(max(120, SCHEDULES))
@pytest.mark.parametrize("group", range(GROUPS))
def test_full_disks_in_turn_preserve_safety_and_changes(group):
    """Guards against replicas that don't come back when their disk has room again."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        for seed in range(FIRST_SEED + group, FIRST_SEED + SCHEDULES // 20, GROUPS):
            runner.run(run_schedule(seed, DisksSchedule))


@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
def test_seed_that_exposed_a_fault(seed):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_schedule(seed))
