"""Probes servers while this host may be cut off from all of them."""

import asyncio
import random
from collections.abc import Callable, Iterable

from bulrushlead.clock import Clock
from bulrushlead.fleet import ServerRecord
from bulrushlead.http1 import CONNECT_TIMEOUT_MS, ConnectionPool, ExchangeError
from bulrushlead.logs import Event, EventLogger
from bulrushlead.relay._connectivity import Connectivity

# Further servers that must all fail, in as many zones as possible. So many that are
# merely down are rarely picked by chance.
CONFIRMING_PROBES = 8
PROBE_INTERVAL_MS = 250  # bounds how long a cut seems to last after its end
RECURRING_PROBES = 2
# Between two confirmations, so that servers that are down cause few probes.
MIN_CONFIRM_INTERVAL_MS = 500


class ServerProber:
    """Opens connections to servers to learn whether the host is cut off.

    Nothing is sent on them; those that open are left to the pool. There are no probes
    unless connections for requests have failed.

    Parameters
    ----------
    clock : Clock
        Source of time.
    connectivity : Connectivity
        Gets the results.
    pool : ConnectionPool
        Opens the connections.
    servers : callable
        Returns the records of the servers that may be probed.
    rng : random.Random
        Chooses the servers.
    """

    def __init__(
        self,
        clock: Clock,
        connectivity: Connectivity,
        pool: ConnectionPool,
        servers: Callable[[], Iterable[ServerRecord]],
        rng: random.Random,
    ):
        self.clock = clock
        self.connectivity = connectivity
        self.pool = pool
        self.servers = servers
        self.rng = rng
        self._task: asyncio.Task | None = None
        self._log = EventLogger("relay")

    async def start(self) -> None:
        """Start waiting for suspicions."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop probing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            try:
                await self._check_suspicion()
            except Exception as error:
                # A host whose prober ends would stay cut off for good.
                self._log.write(Event.UNEXPECTED_ERROR, error=repr(error))
                await self.clock.sleep_ms(PROBE_INTERVAL_MS)

    async def _check_suspicion(self) -> None:
        await self.connectivity.wait_for_suspicion()
        if await self._reaches_any(CONFIRMING_PROBES):
            await self.clock.sleep_ms(MIN_CONFIRM_INTERVAL_MS)
            return
        if not self.connectivity.is_suspected:
            return  # a connection for a request has opened meanwhile
        self.connectivity.confirm_cut_off()
        while self.connectivity.is_cut_off:
            await self.clock.sleep_ms(PROBE_INTERVAL_MS)
            await self._reaches_any(RECURRING_PROBES)

    async def _reaches_any(self, count: int) -> bool:
        """Probe servers; return whether one was reached, or none can be probed."""
        addresses = self._choose(count)
        if not addresses:
            self.connectivity.record_connected()
            return True
        probes = [asyncio.ensure_future(self._probe(a)) for a in addresses]
        try:
            for probe in asyncio.as_completed(probes):
                if await probe:
                    self.connectivity.record_connected()
                    return True
            return False
        finally:
            for probe in probes:
                probe.cancel()

    async def _probe(self, address: str) -> bool:
        try:
            connection = await self.pool.connect(address, CONNECT_TIMEOUT_MS)
        except ExchangeError:
            return False
        self.pool.release(address, connection)
        return True

    def _choose(self, count: int) -> list[str]:
        """Return the addresses of servers in as many zones as possible."""
        records = list(self.servers())
        records = [record for record in records if not record.silent] or records
        failed = self.connectivity.failed
        records = [record for record in records if record.address not in failed] or (
            records
        )
        by_zone: dict[str, list[ServerRecord]] = {}
        for record in self.rng.sample(records, len(records)):
            by_zone.setdefault(record.zone, []).append(record)
        chosen: list[str] = []
        while by_zone and len(chosen) < count:
            for zone in list(by_zone):
                chosen.append(by_zone[zone].pop().address)
                if not by_zone[zone]:
                    del by_zone[zone]
        return chosen[:count]
