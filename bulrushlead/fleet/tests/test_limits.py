"""Request limits of servers on the leader."""

import attrs
import pytest

from bulrushlead.clock import ManualClock
from bulrushlead.fleet import (
    Announcement,
    FleetRegistry,
    FleetView,
    HostReport,
    LimitNotice,
)

HEARTBEAT = Announcement("s1", 7, 1, "stock", "h:80", "a", "v1", 4)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def registry(clock):
    registry = FleetRegistry(clock, 1_000.0)
    registry.record_heartbeat(HEARTBEAT)
    return registry


def report(registry, limit_per_s, age_ms=0.0, born_ms=7, host_id="e1"):
    registry.record_host_report(
        HostReport(
            host_id,
            f"{host_id}:80",
            "a",
            "north",
            True,
            limits={"s1": LimitNotice(born_ms, limit_per_s, age_ms)},
        )
    )
    registry.publish_limits()


def published(registry):
    (record,) = registry.servers_since(0)
    return None if record.limit is None else record.limit.limit_per_s


def test_limit_and_its_withdrawal_are_published_under_new_revisions(registry, clock):
    revisions = [registry.server_revision]
    for limit_per_s in (2.2, 2.2, 5.0, None):
        clock._now_ms += 100
        report(registry, limit_per_s)
        assert published(registry) == limit_per_s
        revisions.append(registry.server_revision)
    assert [b - a for a, b in zip(revisions, revisions[1:], strict=False)] == [
        1,
        0,
        1,
        1,
    ]


def test_newest_observation_counts_whichever_host_reports_last(registry, clock):
    clock._now_ms += 1_000
    report(registry, None, age_ms=100)
    report(registry, 2.2, age_ms=500, host_id="e2")
    assert published(registry) is None


@pytest.mark.parametrize("limit_per_s", [-1.0, float("nan"), float("inf")])
def test_invalid_limit_of_a_report_is_ignored(registry, limit_per_s):
    report(registry, 2.2, age_ms=100)
    report(registry, limit_per_s)
    assert published(registry) == 2.2


def test_limit_belongs_to_one_incarnation(registry):
    report(registry, 2.2, born_ms=6)
    assert published(registry) is None
    report(registry, 2.2)
    registry.record_heartbeat(attrs.evolve(HEARTBEAT, sequence=2, slots=5))
    assert published(registry) == 2.2
    registry.record_heartbeat(attrs.evolve(HEARTBEAT, born_ms=8))
    assert published(registry) is None


def test_new_leader_keeps_limits_with_their_age(registry, clock):
    report(registry, 2.2)
    clock._now_ms += 300
    view = FleetView(clock)
    view.restore(registry.servers_since(0))
    clock._now_ms += 500
    other = FleetRegistry(clock, 1_000.0)
    other.restore(view.records(), [])
    (record,) = other.servers_since(0)
    assert record.limit == LimitNotice(7, 2.2, 800.0)


def test_limits_that_change_together_are_one_update(registry):
    other = attrs.evolve(HEARTBEAT, server_id="s2", address="h:81")
    registry.record_heartbeat(other)
    revision = registry.server_revision
    limits = {name: LimitNotice(7, 2.2) for name in ("s1", "s2", "unknown")}
    registry.record_host_report(
        HostReport("e1", "e1:80", "a", "north", True, limits=limits)
    )
    assert registry.server_revision == revision
    registry.publish_limits()
    records = registry.servers_since(revision)
    assert {record.server_id for record in records} == {"s1", "s2"}
    assert registry.server_revision == revision + 1
