"""Compares three ways to share an organisation's quota among hosts, without a network.

Run ``python -m benchmarks.quota_ways --help`` from the project's root. All ways see
the same draws: usual requests of 85 organisations, then one pattern.
"""

import json
import random
from pathlib import Path

import attrs
import defopt

from bulrushlead.organisations import QuotaState
from bulrushlead.organisations._shares import demand_ratio
from bulrushlead.organisations.tests import model
from bulrushlead.organisations.tests.test_large_fleet import Load

RESULTS = Path("benchmarks/results")
PATTERNS = ("calm", "hot", "move", "leader-lost", "cut-and-frozen")


@attrs.define
class Bucket:
    """A token bucket of one organisation on one host."""

    tokens: float
    updated_ms: float

    def take(self, now_ms: float, rate_per_s: float, capacity: float) -> bool:
        """Refill the bucket, and take a token if there is one."""
        elapsed_s = (now_ms - self.updated_ms) / 1_000.0
        self.tokens = min(capacity, self.tokens + rate_per_s * elapsed_s)
        self.updated_ms = now_ms
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class StaticShares(model.QuotaFleet):
    """Every host may send an equal part of each quota, and of its tolerance."""

    def admit(self, host, organisation):
        """Admit a request if the host's own bucket has a token."""
        return self.take(host, organisation, 1.0 / len(self.hosts))

    def take(self, host, organisation, ratio):
        """Take a token of a bucket that holds a part of a quota."""
        now_ms = self.clock.now_ms()
        buckets = host.gate.__dict__.setdefault("buckets", {})
        tolerance = model.SETTINGS.tolerance(organisation)
        capacity = max(1.0, ratio * (organisation.burst + tolerance))
        bucket = buckets.get(organisation.name)
        if bucket is None:
            tokens = ratio * capacity if capacity == 1.0 else capacity
            bucket = buckets[organisation.name] = Bucket(tokens, now_ms)
        taken = bucket.take(now_ms, ratio * organisation.rate_per_s, capacity)
        return None if taken else 1_000.0


class DemandShares(StaticShares):
    """Every host may send a part of each quota in proportion to its demand."""

    def admit(self, host, organisation):
        """Admit a request by the share that the last news gave this host."""
        gate = host.gate
        account = gate._account(organisation.name)
        account.usage.record_offered(self.clock.now_ms())
        state = gate.states.get(organisation.name, QuotaState())
        demand_per_s = gate._demand_per_s(account, organisation)
        ratio = demand_ratio(account.known_usual_per_s, demand_per_s, state.hosts)
        refused = self.take(host, organisation, ratio)
        if refused is None:
            account.usage.record_admitted(self.clock.now_ms())
        return refused


WAYS = {
    "equal shares": StaticShares,
    "shares by demand": DemandShares,
    "published fractions": model.QuotaFleet,
}


def play(pattern: str, hosts: int, seed: int, total_per_s: float) -> Load:
    """Play one pattern and return the load with its account."""
    load = Load(hosts, seed, total_per_s)
    load.fleet.run(8_000)
    name = load.largest(5)
    if pattern in ("hot", "leader-lost", "cut-and-frozen"):
        load.heat(name)
    if pattern == "leader-lost":
        load.fleet.lose_leader()
    if pattern == "move":
        for other in load.usual:
            load.move(other)
    if pattern == "cut-and-frozen":
        load.fleet.cut(range(hosts // 8), 3_000)
        load.fleet.freeze(range(hosts // 4, hosts // 3), 2_000)
    load.fleet.run(8_000)
    return load


def measure(load: Load) -> dict[str, float]:
    """Return the most requests over any bound, and the share refused below quotas."""
    fleet = load.fleet
    shares = fleet.wrongly_refused()
    owed = {name: fleet.owed(name) for name in shares}
    refused = sum(shares[name] * owed[name] for name in shares)
    seconds = 16.0 * len(fleet.hosts)
    return {
        "excess": max(0.0, max(fleet.excess(name) for name in load.usual)),
        "wrongly_refused": refused / sum(owed.values()),
        "messages_per_host_s": fleet.messages / seconds,
        "counts_per_host_s": fleet.reported / seconds,
    }


def main(*, hosts: list[int] = (78, 184, 1_166), seed: int = 1) -> None:
    """Compare the ways on all patterns, print a table and keep the figures.

    Parameters
    ----------
    hosts : list[int]
        Numbers of hosts.
    seed : int
        Seed of all draws.
    """
    figures = []
    for count in hosts:
        for pattern in PATTERNS:
            for way, fleet_class in WAYS.items():
                random.seed(seed)
                Load.fleet_class = fleet_class
                result = measure(play(pattern, count, seed, 1_000.0))
                figures.append(
                    {"hosts": count, "pattern": pattern, "way": way} | result
                )
                print(
                    f"{count:5} {pattern:15} {way:20} excess {result['excess']:7.1f}  "
                    f"wrongly refused {result['wrongly_refused']:.4f}  "
                    f"messages {result['messages_per_host_s']:.1f}/s a host",
                    flush=True,
                )
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / "quota_ways.json"
    path.write_text(json.dumps({"seed": seed, "figures": figures}, indent=1) + "\n")


if __name__ == "__main__":
    defopt.run(main)
