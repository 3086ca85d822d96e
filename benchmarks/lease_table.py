"""Measures processor time and bytes of a lease renewal by number of hosts and servers.

Run ``python -m benchmarks.lease_table --help`` from the root of the project.
"""

import json
import random
import statistics
import time
from collections.abc import Sequence
from pathlib import Path

import attrs
import defopt

from bulrushlead.backend import BackendServer
from bulrushlead.clock import ManualClock
from bulrushlead.declaration import AvailabilityZone, Host, Service
from bulrushlead.leases import (
    LeaseHolder,
    LeaseSettings,
    LeaseTable,
    LimitKey,
    RateLimit,
)
from bulrushlead.wire import codec

REGIONS = ("capital", "oeste", "costa-este")
SERVICES = ("stock", "tracking")
SLOTS = 4
CONNECTIONS = 390
RATE_DEMANDS = 4
WARMUP_ROUNDS = 8
# Stated limits of a node, which the page of results shows for comparison.
NODE_BYTES_PER_S = 8_000
NODE_CORE_PERCENT = 3.1
RESULTS = Path("benchmarks/results")


@attrs.frozen
class Figures:
    """Measurements for one number of hosts and servers.

    Parameters
    ----------
    hosts, servers : int
        Entry hosts and backend servers.
    renew_us : float
        Mean processor time of ``LeaseTable.renew``, in microseconds.
    codec_us : float
        Mean processor time of the leader to decode a request and encode a grant, in
        microseconds.
    holder_us : float
        Mean processor time of the entry host for one renewal, including encoding and
        decoding of its messages, in microseconds.
    request_bytes, grant_bytes : int
        Median size of the messages, without the framing of the connection.
    """

    hosts: int
    servers: int
    renew_us: float
    codec_us: float
    holder_us: float
    request_bytes: int
    grant_bytes: int


def build_servers(count: int) -> tuple[BackendServer, ...]:
    """Return backend servers spread over services and regions."""
    return tuple(
        BackendServer(
            name=f"backend-{index}",
            service=SERVICES[index % len(SERVICES)],
            region=REGIONS[index // len(SERVICES) % len(REGIONS)],
            availability_zone="",
            address=f"10.1.{index // 250}.{index % 250}:8080",
            incarnation=f"{index:016x}",
            slots=SLOTS,
            connections=CONNECTIONS,
        )
        for index in range(count)
    )


def build_limits() -> tuple[RateLimit, ...]:
    """Return a rate limit for every region and every link."""
    keys = [LimitKey.for_region(s, r) for s in SERVICES for r in REGIONS]
    keys += [LimitKey.for_link(a, b) for a in REGIONS for b in REGIONS if a != b]
    return tuple(RateLimit(key, 1_000_000) for key in keys)


def build_table(hosts: int, servers: int, clock: ManualClock) -> LeaseTable:
    """Return the lease table of the leader of the first term."""
    zones = tuple(AvailabilityZone(f"{region}-1", region) for region in REGIONS)
    declared = tuple(
        Host(f"entry-{index}", zones[index % len(zones)].name) for index in range(hosts)
    )
    table = LeaseTable(clock, LeaseSettings())
    table.start_term(1, no_prior_grants=True)
    table.update_servers(build_servers(servers), [Service(name) for name in SERVICES])
    table.update_limits(build_limits(), declared, zones)
    return table


def cpu_us() -> float:
    """Return the processor time of the process, in microseconds."""
    return time.process_time_ns() / 1_000


class Run:
    """Renews the leases of all hosts in turn, in steady state.

    Parameters
    ----------
    hosts, servers : int
        Entry hosts and backend servers.
    rounds : int
        Measured renewals of each host.
    """

    def __init__(self, hosts: int, servers: int, rounds: int):
        self.hosts = hosts
        self.servers = servers
        self.rounds = rounds
        self._random = random.Random(1)
        self._clock = ManualClock()
        self._table = build_table(hosts, servers, self._clock)
        self._holders = [
            LeaseHolder(self._clock, f"entry-{index}", f"{index:016x}")
            for index in range(hosts)
        ]
        self._renew_us: list[float] = []
        self._codec_us: list[float] = []
        self._holder_us: list[float] = []
        self._sizes: list[tuple[int, int]] = []

    def run(self) -> Figures:
        """Return the mean processor times and the median message sizes."""
        for _ in range(WARMUP_ROUNDS):
            self._renew_all()
        for samples in (self._renew_us, self._codec_us, self._holder_us, self._sizes):
            samples.clear()
        for _ in range(self.rounds):
            self._renew_all()
        return Figures(
            hosts=self.hosts,
            servers=self.servers,
            renew_us=round(statistics.fmean(self._renew_us), 1),
            codec_us=round(statistics.fmean(self._codec_us), 1),
            holder_us=round(statistics.fmean(self._holder_us), 1),
            request_bytes=round(statistics.median(size for size, _ in self._sizes)),
            grant_bytes=round(statistics.median(size for _, size in self._sizes)),
        )

    def _renew_all(self) -> None:
        interval_ms = LeaseSettings().renew_interval_ms
        for holder in self._holders:
            self._clock._now_ms += interval_ms / self.hosts
            waiting = self._random.choice((0, 0, 0, 2))
            holder.set_demand(SERVICES[0], REGIONS[0], waiting)
            for limit in build_limits()[:RATE_DEMANDS]:
                wanted = self._random.randrange(limit.amount_per_s // self.hosts)
                holder.set_rate_demand(limit.key, wanted)
            self._renew(holder)

    def _renew(self, holder: LeaseHolder) -> None:
        started_us = cpu_us()
        request_bytes = codec.encode(holder.build_request())
        sent_us = cpu_us()
        request = codec.decode(request_bytes)
        decoded_us = cpu_us()
        grant = self._table.renew(request)
        granted_us = cpu_us()
        grant_bytes = codec.encode(grant)
        encoded_us = cpu_us()
        holder.apply_grant(codec.decode(grant_bytes))
        applied_us = cpu_us()
        self._renew_us.append(granted_us - decoded_us)
        self._codec_us.append(decoded_us - sent_us + encoded_us - granted_us)
        self._holder_us.append(sent_us - started_us + applied_us - encoded_us)
        self._sizes.append((len(request_bytes), len(grant_bytes)))


def to_markdown(results: list[Figures], command: str) -> str:
    """Return the results as a Markdown table."""
    interval_s = LeaseSettings().renew_interval_ms / 1_000
    lines = [
        f"Command: `{command}`",
        "",
        f"One renewal of each host every {interval_s:g} s. Stated for a node: "
        f"{NODE_BYTES_PER_S} bytes/s and {NODE_CORE_PERCENT} % of a core.",
        "",
        "| hosts | servers | leader us per renewal | of it codec us | leader core "
        "for all hosts | entry host us | entry host core | request bytes "
        "| grant bytes | bytes/s per host |",
        "| --- " * 10 + "|",
    ]
    for row in results:
        leader_us = row.renew_us + row.codec_us
        lines.append(
            f"| {row.hosts} | {row.servers} | {leader_us:.0f} | {row.codec_us:.0f} "
            f"| {leader_us * row.hosts / interval_s / 1e4:.2f} % "
            f"| {row.holder_us:.0f} | {row.holder_us / interval_s / 1e4:.3f} % "
            f"| {row.request_bytes} | {row.grant_bytes} "
            f"| {(row.request_bytes + row.grant_bytes) / interval_s:.0f} |"
        )
    return "\n".join(lines) + "\n"


def main(
    *,
    hosts: Sequence[int] = (11, 100, 400, 1_200),
    servers: Sequence[int] = (32, 320, 1_200),
    rounds: int = 3,
) -> None:
    """Measure lease renewals.

    Parameters
    ----------
    hosts
        Numbers of entry hosts.
    servers
        Numbers of backend servers.
    rounds
        Measured renewals of each host.
    """
    results = [Run(h, s, rounds).run() for h in hosts for s in servers]
    command = (
        f"python -m benchmarks.lease_table --hosts {' '.join(map(str, hosts))} "
        f"--servers {' '.join(map(str, servers))} --rounds {rounds}"
    )
    text = to_markdown(results, command)
    print(text)
    RESULTS.mkdir(parents=True, exist_ok=True)
    (RESULTS / "lease_table.md").write_text(text)
    document = {"command": command, "results": [attrs.asdict(row) for row in results]}
    (RESULTS / "lease_table.json").write_text(json.dumps(document, indent=2) + "\n")


if __name__ == "__main__":
    defopt.run(main)
