"""Rate limits of regions, links and shifts, as granted to an entry host."""

import attrs

from bulrushlead.clock import Clock
from bulrushlead.declaration import Declaration, Shift
from bulrushlead.leases import LeaseHolder, LimitKey
from bulrushlead.limits import LinkBudget, RateWindow, Reservation, ShiftGate
from bulrushlead.logs import Event, EventLogger


@attrs.define(eq=False)
class LinkUse:
    """Bytes reserved in both directions of a link for one request.

    Parameters
    ----------
    outbound, inbound : LinkBudget
        Budgets of the two directions, seen from this host's region.
    outbound_reservation, inbound_reservation : Reservation
        Reservations in these budgets.
    """

    outbound: LinkBudget
    inbound: LinkBudget
    outbound_reservation: Reservation
    inbound_reservation: Reservation

    def settle(self, sent_bytes: int, received_bytes: int) -> None:
        """Replace the reservations by the numbers of bytes that were transferred."""
        self.outbound.settle(self.outbound_reservation, sent_bytes)
        self.inbound.settle(self.inbound_reservation, received_bytes)


class TrafficLimits:
    """Rate limits of one entry host.

    Parameters
    ----------
    clock : Clock
        Source of time.
    holder : LeaseHolder
        Lease with this host's shares of the limits.
    own_region : str
        Region of this host.
    """

    def __init__(self, clock: Clock, holder: LeaseHolder, own_region: str):
        self.clock = clock
        self.holder = holder
        self.own_region = own_region
        self._regions: dict[LimitKey, RateWindow] = {}
        self._links: dict[LimitKey, LinkBudget] = {}
        self._gates: dict[str, ShiftGate] = {}
        self._log = EventLogger("limits")

    def set_configuration(self, declaration: Declaration) -> None:
        """Set the limits that a new configuration declares."""
        region_keys = {
            LimitKey.for_region(capacity.service, capacity.region)
            for capacity in declaration.region_capacities
        }
        link_keys = {
            LimitKey.for_link(link.from_region, link.to_region)
            for link in declaration.links
        }
        self._regions = {
            key: self._regions.get(key) or RateWindow(self.clock, 0)
            for key in region_keys
        }
        self._links = {
            key: self._links.get(key) or LinkBudget(self.clock, 0) for key in link_keys
        }
        self._gates = {
            shift.name: self._update_or_build_gate(shift)
            for shift in declaration.shifts
        }
        self.refresh()

    def refresh(self) -> None:
        """Apply the shares of the current lease and record the demand for more."""
        for key, window in self._regions.items():
            self.holder.set_rate_demand(key, window.wanted())
            window.set_limit(int(self.holder.rate(key)))
        for key, budget in self._links.items():
            self.holder.set_rate_demand(key, budget.wanted())
            budget.set_limit(int(self.holder.rate(key)))
        for gate in self._gates.values():
            key = _shift_key(gate.shift)
            self.holder.set_rate_demand(key, gate.wanted())
            if self.holder.is_valid():
                gate.set_rate(self.holder.rate(key))
            else:
                gate.suspend()

    def choose_shift(self, service: str, home_region: str) -> ShiftGate | None:
        """Return the gate of the shift that moves this request, or None.

        Call this exactly once for each request, since each call advances the
        accumulator that enforces the percentage of a shift.
        """
        # The lease may have expired since the last refresh.
        if not self.holder.is_valid():
            self.refresh()
        for gate in self.find_gates(service, home_region):
            if gate.choose():
                return gate
        return None

    def find_gates(self, service: str, home_region: str) -> tuple[ShiftGate, ...]:
        """Return the gates of the shifts that move a service away from a region."""
        return tuple(
            gate
            for gate in self._gates.values()
            if gate.shift.service == service and gate.shift.from_region == home_region
        )

    def gates(self) -> tuple[ShiftGate, ...]:
        """Return the gates of all declared shifts."""
        return tuple(self._gates.values())

    def is_region_below_limit(self, service: str, region: str) -> bool:
        """Return whether the limit of a region allows another request now."""
        window = self._regions.get(LimitKey.for_region(service, region))
        return window is None or window.used() < window.limit_per_s

    def try_consume_region(self, service: str, region: str) -> bool:
        """Count one request against a region's limit; return whether it is allowed."""
        window = self._regions.get(LimitKey.for_region(service, region))
        return window is None or window.try_take()

    def has_links(self, region: str) -> bool:
        """Return whether a region is this host's own or linked in both directions."""
        return (
            region == self.own_region
            or LimitKey.for_link(self.own_region, region) in self._links
        ) and (
            region == self.own_region
            or LimitKey.for_link(region, self.own_region) in self._links
        )

    def reserve_link(
        self, region: str, request_bytes: int, answer_bytes: int
    ) -> LinkUse | None:
        """Reserve bytes in both directions of the link to another region.

        Parameters
        ----------
        region : str
            The other region.
        request_bytes, answer_bytes : int
            Bytes to reserve for the request and for the answer.

        Returns
        -------
        LinkUse or None
            None if a direction is not declared or its share is used up.
        """
        outbound = self._links.get(LimitKey.for_link(self.own_region, region))
        inbound = self._links.get(LimitKey.for_link(region, self.own_region))
        if outbound is None or inbound is None:
            return None
        outbound_reservation = outbound.reserve(request_bytes)
        if outbound_reservation is None:
            self._log_link_limit(self.own_region, region, outbound)
            return None
        inbound_reservation = inbound.reserve(answer_bytes)
        if inbound_reservation is None:
            outbound.settle(outbound_reservation, 0)
            self._log_link_limit(region, self.own_region, inbound)
            return None
        return LinkUse(outbound, inbound, outbound_reservation, inbound_reservation)

    def _update_or_build_gate(self, shift: Shift) -> ShiftGate:
        gate = self._gates.get(shift.name)
        if gate is None or _shift_key(gate.shift) != _shift_key(shift):
            return ShiftGate(self.clock, shift)
        gate.set_shift(shift)
        return gate

    def _log_link_limit(self, from_region: str, to_region: str, budget: LinkBudget):
        self._log.write(
            Event.LIMIT_REACHED,
            kind="link",
            from_region=from_region,
            to_region=to_region,
            limit_bytes_per_s=budget.limit_bytes_per_s,
        )


def _shift_key(shift: Shift) -> LimitKey:
    return LimitKey.for_shift(
        shift.name, shift.service, shift.from_region, shift.to_region
    )
