"""Requests for an object that is cold in its region and warm in another one.

Pattern: owners of many objects change within a moment (a release, a zone that returns),
and several callers request each object while its first run is in progress.
"""

import pytest

from bulrushlead.clock import ManualClock
from bulrushlead.dispatch import Dispatcher, DispatchSettings, Work
from bulrushlead.dispatch._warm_copies import MAX_SHARE, MAX_TOKENS, MIN_SLOTS
from bulrushlead.fleet import (
    FleetUpdate,
    FleetView,
    ServerRecord,
    ServerState,
    SyncPosition,
    owner_group,
)

REGIONS = {"a": "north", "b": "south"}
WARM_MS, COLD_MS, TARGET_MS = 400.0, 1_500.0, 1_000.0


class SteppedClock(ManualClock):
    """A clock that also advances without a running event loop."""

    def advance(self, duration_ms):
        self._now_ms += duration_ms


class Host:
    """The dispatcher of a host in the north, and what the leader sends it."""

    def __init__(self, slots=9):
        self.slots = slots
        self.clock = SteppedClock(1_000_000.0)
        self.view = FleetView(self.clock)
        settings = DispatchSettings("e1", "a", "north", REGIONS, 0.2, 60, 10_000, 5)
        self.dispatcher = Dispatcher(self.clock, settings)
        self.revision = 0
        for _ in range(20):
            record = self.dispatcher.estimates.record_answer
            record("read", "stock", True, WARM_MS)
            record("read", "stock", False, COLD_MS)

    def publish(self, owners=None, born_ms=1):
        """Send the servers n1 and s1; ``owners`` names the owner by region."""
        self.revision += 1
        self.view.apply(
            FleetUpdate(
                term=1,
                position=SyncPosition("e", self.revision),
                servers=tuple(
                    ServerRecord(
                        name,
                        born_ms if name == "n1" else 1,
                        "stock",
                        f"127.0.0.1:{number}",
                        zone,
                        self.slots,
                        ServerState.READY,
                    )
                    for number, (name, zone) in enumerate((("n1", "a"), ("s1", "b")))
                ),
                owners={
                    owner_group(region, "stock"): {work().digest: owner}
                    for region, owner in (owners or {}).items()
                },
            )
        )
        self.dispatcher.update(self.view)

    def placements(self, count, interval_ms=10.0, **changes):
        """Return the servers of several requests for the same object."""
        servers = []
        for _ in range(count):
            self.clock.advance(interval_ms)
            placement = self.dispatcher.place(work(**changes))
            servers.append(placement.server.server_id)
        return servers


def work(**changes):
    fields = {
        "service": "stock",
        "route": "read",
        "key": b"object",
        "sticky": True,
        "target_latency_ms": TARGET_MS,
        "remaining_ms": 4_000.0,
    }
    return Work(**{**fields, **changes})


@pytest.fixture
def host():
    host = Host()
    host.publish({"north": "n1", "south": "s1"})
    host.placements(100)
    return host


def test_a_warm_object_stays_in_its_region(host):
    assert set(host.placements(100)) == {"n1"}


def test_every_other_request_for_a_cold_object_goes_to_its_warm_copy(host):
    """Guards against several cold runs of one object beside each other."""
    host.publish(born_ms=2)
    servers = host.placements(6)
    assert servers.count("s1") == 3
    assert "n1" in servers[:2]
    host.clock.advance(COLD_MS + 1_000.0)
    assert set(host.placements(20)) == {"n1"}


def test_few_requests_leave_their_region(host):
    """Guards against regions that exchange their work within seconds."""
    host.publish(born_ms=2)
    servers = host.placements(200, interval_ms=1.0)
    assert servers.count("s1") <= MAX_TOKENS + MAX_SHARE * 200


def test_regions_that_may_run_a_request_bind(host):
    host.publish(born_ms=2)
    assert set(host.placements(20, allowed_regions=("north",))) == {"n1"}


@pytest.mark.parametrize(
    "target_latency_ms", [2_000.0, 450.0], ids=["cold-in-time", "never-in-time"]
)
def test_requests_that_gain_nothing_stay(host, target_latency_ms):
    host.publish(born_ms=2)
    servers = host.placements(20, target_latency_ms=target_latency_ms)
    assert set(servers) == {"n1"}


@pytest.mark.parametrize("slots", [3, MIN_SLOTS - 1])
def test_servers_with_few_slots_get_no_requests_of_other_regions(slots):
    """Guards against queues that hosts of other regions do not see."""
    host = Host(slots)
    host.publish({"north": "n1", "south": "s1"})
    host.placements(100)
    host.publish(born_ms=2)
    assert set(host.placements(20)) == {"n1"}


def test_copies_that_are_cold_everywhere_stay_where_they_are(host):
    host.publish({"south": ""})
    host.publish({"north": "n1", "south": "s1"}, born_ms=2)
    assert set(host.placements(20)) == {"n1"}
