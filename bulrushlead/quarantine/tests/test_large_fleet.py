"""A large fleet without network: how many servers one request ends before it stops."""

import heapq
import itertools
import random

import pytest

from bulrushlead.quarantine import CrashObserver, Run, RunEnd, SuspectTable

HOSTS = 184
SERVERS = 807
CRASH_AFTER_MS = 60.0
CHECK_MS = 5.0  # until a host knows that a server has ended
LINK_MS = 35.0  # one way, to the leader and back
CONTACT_MS = 3_000.0
SOUND_EVERY_MS = 2.0
SOUND_MS = 50.0
MAX_ATTEMPTS = 2


class LargeFleet:
    """Hosts that learn from each other through a leader, on one simulated clock."""

    def __init__(self, clock, seed):
        self.clock = clock
        self.rng = random.Random(seed)
        self.leader = SuspectTable(clock)
        self.hosts = [CrashObserver(clock) for _ in range(HOSTS)]
        self.in_progress = {f"s{n}": set() for n in range(SERVERS)}
        self.incarnation = dict.fromkeys(self.in_progress, 1)
        self.crashes = []
        self.bad_arrivals = []
        self.sound = {True: 0, False: 0}
        self._events = []
        self._sequence = itertools.count()
        for host in self.hosts:
            host.on_evidence = lambda host=host: self.after(LINK_MS, self.report, host)

    def after(self, delay_ms, action, *arguments):
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._events, (due_ms, next(self._sequence), action, arguments))

    def run(self, duration_ms):
        end_ms = self.clock.now_ms() + duration_ms
        while self._events and self._events[0][0] < end_ms:
            due_ms, _, action, arguments = heapq.heappop(self._events)
            self.clock.advance(due_ms - self.clock.now_ms())
            action(*arguments)

    def report(self, host):
        revision = self.leader.published_revision
        self.leader.merge(host.undelivered("epoch"))
        if self.leader.published_revision > revision:
            for other in self.hosts:
                self.after(LINK_MS, self.publish, other, revision)

    def publish(self, host, revision):
        host.apply("epoch", self.leader.published_since(revision))

    def send(self, fingerprint, is_bad, interval_ms):
        """Send a request to a random host, and the next one later."""
        self.after(interval_ms, self.send, fingerprint, is_bad, interval_ms)
        name = fingerprint or f"sound-{next(self._sequence)}"
        self.attempt(self.rng.choice(self.hosts), name, is_bad, MAX_ATTEMPTS)

    def attempt(self, host, fingerprint, is_bad, attempts_left):
        if host.hold(fingerprint) is not None:
            self.record_end(is_bad, False)
            return
        server = self.rng.choice(list(self.in_progress))
        run = Run(
            fingerprint,
            "stock",
            server,
            self.incarnation[server],
            "v1",
            self.clock.now_ms(),
        )
        host.begin(run)
        entry = (host, run, is_bad, attempts_left)
        self.in_progress[server].add(entry)
        if is_bad:
            self.bad_arrivals.append((self.clock.now_ms(), fingerprint))
            self.after(CRASH_AFTER_MS, self.crash, server, run.born_ms, fingerprint)
        else:
            self.after(SOUND_MS, self.complete, entry)

    def complete(self, entry):
        host, run, is_bad, _ = entry
        if entry in self.in_progress[run.server_id]:
            self.in_progress[run.server_id].discard(entry)
            host.end(run, RunEnd.COMPLETED)
            self.record_end(is_bad, True)

    def crash(self, server, born_ms, cause=None):
        if self.incarnation[server] != born_ms:
            return
        self.crashes.append((self.clock.now_ms(), cause))
        self.incarnation[server] += 1
        lost, self.in_progress[server] = self.in_progress[server], set()
        for host, run, is_bad, attempts_left in lost:
            host.end(run, RunEnd.LOST)
            self.after(CHECK_MS, host.record_ended, server, born_ms)
            if attempts_left > 1 and host.may_repeat(run.fingerprint):
                self.attempt(host, run.fingerprint, is_bad, attempts_left - 1)
            else:
                self.record_end(is_bad, False)

    def record_end(self, is_bad, is_served):
        if not is_bad:
            self.sound[is_served] += 1

    def crash_some(self, count, interval_ms):
        """Crash servers by themselves, several at the same moment."""
        self.after(interval_ms, self.crash_some, count, interval_ms)
        for server in self.rng.sample(list(self.in_progress), count):
            self.crash(server, self.incarnation[server])


@pytest.mark.parametrize("repeats_per_s", [3.5, 30.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_one_request_stops_in_a_large_fleet(clock, seed, repeats_per_s):
    """Guards against knowledge that spreads too slowly over many hosts."""
    fleet = LargeFleet(clock, seed)
    fleet.send("", False, SOUND_EVERY_MS)
    fleet.send("bad", True, 1_000.0 / repeats_per_s)
    fleet.run(8_000.0)
    third_ms = sorted(ms for ms, cause in fleet.crashes if cause == "bad")[2]
    assert not [ms for ms, _ in fleet.bad_arrivals if ms > third_ms + CONTACT_MS]
    # What arrives in the time in which a crash becomes known at all hosts.
    known_after_s = (CRASH_AFTER_MS + CHECK_MS + 2 * LINK_MS) / 1_000.0
    assert len(fleet.crashes) <= 3 + MAX_ATTEMPTS * (1 + repeats_per_s * known_after_s)
    assert fleet.sound[True] > 0.99 * sum(fleet.sound.values())


@pytest.mark.parametrize("at_once", [1, 40, 270])
def test_sound_requests_are_not_refused_when_many_servers_end(clock, at_once):
    """Guards against refusing what merely ran where servers ended by themselves."""
    fleet = LargeFleet(clock, at_once)
    fleet.send("", False, SOUND_EVERY_MS)
    fleet.send("same", False, SOUND_EVERY_MS)
    fleet.crash_some(at_once, 1_000.0)
    fleet.run(6_000.0)
    assert len(fleet.crashes) >= 5 * at_once
    assert not fleet.leader.quarantined
    assert not any(host.table.quarantined for host in fleet.hosts)
