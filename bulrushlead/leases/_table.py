"""Lease table with which the leader grants shares to entry hosts."""

import math
from collections.abc import Sequence

from bulrushlead.backend import BackendServer
from bulrushlead.clock import Clock
from bulrushlead.declaration import AvailabilityZone, Host, HostRole, Service
from bulrushlead.leases._messages import (
    LeaseGrant,
    LeaseRequest,
    LimitKey,
    RateLimit,
)
from bulrushlead.leases._pool import HolderId
from bulrushlead.leases._rates import RateDivision
from bulrushlead.leases._record import HolderRecord, HolderView
from bulrushlead.leases._settings import LeaseSettings
from bulrushlead.leases._slots import SlotDivision
from bulrushlead.logs import Event, EventLogger
from bulrushlead.results import BulrushleadError, ResultCode

COALESCE_HOST_THRESHOLD = 100
"""Number of hosts above which one rebalance serves several joins."""

REBALANCE_DELAY_PER_HOST_MS = 0.2
"""Added to the minimum time between rebalances for each host above the threshold."""


class LeaseTable:
    """Grants shares of slots and rates to entry hosts.

    Parameters
    ----------
    clock : Clock
        Clock of the control host.
    settings : LeaseSettings
        Durations of the protocol.

    Notes
    -----
    The table does no I/O. The owner calls ``start_term`` when this process has
    become leader *and* the previous leader's quorum lease has expired, and
    ``stop_term`` as soon as this process may no longer be leader.
    """

    def __init__(self, clock: Clock, settings: LeaseSettings):
        self.clock = clock
        self.settings = settings
        self._term: int | None = None
        self._slots = SlotDivision(settings)
        self._rates = RateDivision(settings)
        self._records: dict[HolderId, HolderRecord] = {}
        self._regions: dict[str, str] = {}
        self._rebalance_due_ms = 0.0
        self._last_rebalance_ms = -math.inf
        self._next_expiry_ms = math.inf
        self._keep_records_until_ms = 0.0
        self._log = EventLogger("leases")

    def start_term(self, term: int, *, no_prior_grants: bool = False) -> None:
        """Start granting leases as the leader of a new term.

        Parameters
        ----------
        term : int
            Term of this leader, higher than every earlier one.
        no_prior_grants : bool, default=False
            Whether no leader can have granted a lease before, as in the first term
            of a new installation. Otherwise hosts retain the shares that they
            report, and unreported units are not granted until all leases and
            running requests of earlier terms must have ended.
        """
        now_ms = self.clock.now_ms()
        self._term = term
        self._records = {}
        self._rebalance_due_ms = now_ms
        self._keep_records_until_ms = now_ms + self.settings.with_margin(
            self.settings.lease_ms + self._slots.longest_duration_ms()
        )
        self._slots.start_term(now_ms, no_prior_grants)
        self._rates.start_term(now_ms, no_prior_grants)

    def stop_term(self) -> None:
        """Stop granting leases; ``renew`` then raises ``NOT_LEADER``."""
        self._term = None

    def update_servers(
        self, servers: Sequence[BackendServer], services: Sequence[Service] = ()
    ) -> None:
        """Replace the set of backend servers.

        Parameters
        ----------
        servers : sequence of BackendServer
            All servers; one that is not listed is treated as draining.
        services : sequence of Service
            Declared services, of which ``max_duration_ms`` is used.
        """
        durations_ms = {service.name: service.max_duration_ms for service in services}
        self._slots.set_servers(servers, durations_ms, self.clock.now_ms())
        self._rebalance_due_ms = self.clock.now_ms()

    def update_limits(
        self,
        limits: Sequence[RateLimit],
        hosts: Sequence[Host],
        availability_zones: Sequence[AvailabilityZone] = (),
    ) -> None:
        """Replace the rate limits and the declared hosts.

        Parameters
        ----------
        limits : sequence of RateLimit
            All limits. A lower limit takes effect at a host with its next grant,
            and fleet-wide once each host has confirmed that grant or its lease has
            expired.
        hosts : sequence of Host
            Declared hosts; only entry hosts receive shares.
        availability_zones : sequence of AvailabilityZone
            Zones that map hosts to regions; a host prefers servers in its region.
        """
        regions = {zone.name: zone.region for zone in availability_zones}
        self._regions = {
            host.name: regions.get(host.availability_zone, "")
            for host in hosts
            if host.role is HostRole.ENTRY
        }
        self._rates.set_hosts(tuple(self._regions))
        self._rates.set_limits(limits, self.clock.now_ms())
        self._rebalance_due_ms = self.clock.now_ms()

    def renew(self, request: LeaseRequest) -> LeaseGrant:
        """Record the report of an entry host and grant its shares.

        Parameters
        ----------
        request : LeaseRequest
            Report; may be late, duplicated or superseded by a newer one.

        Returns
        -------
        LeaseGrant
            The shares, or with ``lease_ms`` 0 a request to report in the current
            term.

        Raises
        ------
        BulrushleadError
            ``NOT_LEADER`` if this process is not leader or the request has a
            higher term, ``NOT_FOUND`` if the host is not declared as an entry
            host, ``NO_LEASE`` if a newer request was received before this one.
        """
        self._check_request(request)
        if request.term < self._term:
            return LeaseGrant(
                request.host, request.incarnation, self._term, request.sequence
            )
        holder = HolderId(request.host, request.incarnation)
        record = self._records.get(holder)
        if record is not None and request.sequence <= record.sequence:
            return self._resend_grant(record, request)
        self.expire()
        return self._grant(self._record_report(holder, request))

    def expire(self) -> None:
        """Expire leases that were not renewed, and remove obsolete records."""
        now_ms = self.clock.now_ms()
        if now_ms < self._next_expiry_ms:
            return
        for holder, record in list(self._records.items()):
            if record.live and now_ms >= record.lease_end_ms:
                self._end_lease(record)
            if not record.live and now_ms >= self._removable_at_ms(record):
                del self._records[holder]
        self._next_expiry_ms = min(
            map(self._next_change_ms, self._records.values()), default=math.inf
        )

    def remove_host(self, host: str) -> None:
        """Stop granting to a host; its shares stay counted until they expire."""
        self._regions.pop(host, None)
        self._rebalance_due_ms = self.clock.now_ms()

    def holders(self) -> tuple[HolderView, ...]:
        """Return the lease state of every recorded run of an entry host."""
        return tuple(self._build_view(record) for record in self._records.values())

    def slot_bound(self, server: str, host: str) -> int:
        """Return the upper bound of the slots of a server that a host may use."""
        pool = self._slots.pool(server)
        if pool is None:
            return 0
        return sum(pool.bound(item) for item in pool.holders() if item.host == host)

    def rate_bound(self, key: LimitKey, host: str) -> int:
        """Return the upper bound of a rate limit that a host may use, per second."""
        pool = self._rates.pool(key)
        if pool is None:
            return 0
        return sum(pool.bound(item) for item in pool.holders() if item.host == host)

    def free_slots(self, server: str) -> int:
        """Return the slots of a server that no host can be using."""
        pool = self._slots.pool(server)
        return max(0, pool.free(self.clock.now_ms())) if pool is not None else 0

    def _check_request(self, request: LeaseRequest) -> None:
        if self._term is None or request.term > self._term:
            raise BulrushleadError(
                ResultCode.NOT_LEADER,
                f"term {request.term} was requested and this control host leads "
                f"{self._term}; ask another control host",
            )
        if request.host not in self._regions:
            raise BulrushleadError(
                ResultCode.NOT_FOUND,
                f"host {request.host!r} is not declared as an entry host; add it "
                "to the declaration",
            )

    def _resend_grant(self, record: HolderRecord, request: LeaseRequest) -> LeaseGrant:
        if request.sequence == record.sequence and record.grant is not None:
            return record.grant
        raise BulrushleadError(
            ResultCode.NO_LEASE,
            f"request {request.sequence} of host {request.host!r} was overtaken by "
            f"request {record.sequence}; drop its answer",
        )

    def _record_report(self, holder: HolderId, request: LeaseRequest) -> HolderRecord:
        now_ms = self.clock.now_ms()
        record = self._records.get(holder)
        if record is None:
            record = self._records[holder] = HolderRecord(holder)
            self._rebalance_due_ms = now_ms
            self._slots.restore(record, request.held, now_ms)
            self._rates.restore(record, request.rates, now_ms)
        else:
            self._slots.report(record, request.held, now_ms)
            self._rates.confirm(record, request.acked_sequence, now_ms)
        if not record.live or record.leaving != request.leaving:
            self._rebalance_due_ms = now_ms
        record.region = self._regions[holder.host]
        record.sequence = request.sequence
        record.demands = request.demands
        record.rate_demands = {
            share.key: share.amount_per_s for share in request.rate_demands
        }
        record.leaving = request.leaving
        record.live = True
        record.lease_end_ms = now_ms + self.settings.with_margin(self.settings.lease_ms)
        self._next_expiry_ms = min(self._next_expiry_ms, record.lease_end_ms)
        return record

    def _grant(self, record: HolderRecord) -> LeaseGrant:
        now_ms = self.clock.now_ms()
        self._rebalance_if_due(now_ms)
        slots = self._slots.grant(record, now_ms)
        rates = self._rates.grant(record, now_ms)
        previous = record.grant
        record.grant = LeaseGrant(
            host=record.holder.host,
            incarnation=record.holder.incarnation,
            term=self._term,
            sequence=record.sequence,
            lease_ms=self.settings.lease_ms,
            slots=slots,
            rates=rates,
        )
        if previous is None or (previous.slots, previous.rates) != (slots, rates):
            self._log_grant(record.grant)
        return record.grant

    def _log_grant(self, grant: LeaseGrant) -> None:
        self._log.write(
            Event.LEASE_GRANTED,
            host=grant.host,
            incarnation=grant.incarnation,
            term=grant.term,
            sequence=grant.sequence,
            slots=sum(share.count for share in grant.slots),
            servers=len(grant.slots),
            rates=len(grant.rates),
        )

    def _rebalance_if_due(self, now_ms: float) -> None:
        min_interval_ms = REBALANCE_DELAY_PER_HOST_MS * max(
            0, len(self._records) - COALESCE_HOST_THRESHOLD
        )
        if now_ms < max(
            self._rebalance_due_ms, self._last_rebalance_ms + min_interval_ms
        ):
            return
        self._last_rebalance_ms = now_ms
        # A rebalance visits every record, so a large fleet waits 1 ms per record, up
        # to the renewal interval.
        self._rebalance_due_ms = now_ms + max(
            self.settings.rebalance_interval_ms,
            min(self.settings.renew_interval_ms, len(self._records)),
        )
        live = [
            record
            for record in self._records.values()
            if record.live
            and not record.leaving
            and record.holder.host in self._regions
        ]
        self._slots.rebalance(live, now_ms)
        self._rates.rebalance(live)

    def _end_lease(self, record: HolderRecord) -> None:
        record.live = False
        self._slots.release(record)
        self._rates.release(record)
        self._rebalance_due_ms = self.clock.now_ms()
        self._log.write(
            Event.LEASE_EXPIRED,
            host=record.holder.host,
            incarnation=record.holder.incarnation,
            sequence=record.sequence,
        )

    def _next_change_ms(self, record: HolderRecord) -> float:
        return record.lease_end_ms if record.live else self._removable_at_ms(record)

    def _removable_at_ms(self, record: HolderRecord) -> float:
        requests_end_ms = record.lease_end_ms + self.settings.with_margin(
            self._slots.longest_duration_ms()
        )
        return max(requests_end_ms, self._keep_records_until_ms)

    def _build_view(self, record: HolderRecord) -> HolderView:
        remaining_ms = max(0.0, record.lease_end_ms - self.clock.now_ms())
        return HolderView(
            host=record.holder.host,
            incarnation=record.holder.incarnation,
            live=record.live and remaining_ms > 0,
            remaining_ms=remaining_ms,
            slots=self._slots.bound_of(record.holder),
        )
