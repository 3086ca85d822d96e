"""Shares of regions, links and shifts of an entry host, in step with its lease."""

import attrs

from bulrushlead.clock import Clock
from bulrushlead.declaration import Declaration, Shift
from bulrushlead.leases import LeaseHolder, LimitKey
from bulrushlead.limits import LinkBudget, RateWindow, Reservation, ShiftGate
from bulrushlead.logs import Event, EventLogger


@attrs.define(eq=False)
class LinkUse:
    """Bytes reserved both ways for one request between two regions.

    Parameters
    ----------
    there, back : LinkBudget
        Budgets of the two ways.
    there_reservation, back_reservation : Reservation
        What was reserved on each.
    """

    there: LinkBudget
    back: LinkBudget
    there_reservation: Reservation
    back_reservation: Reservation

    def settle(self, sent_bytes: int, received_bytes: int) -> None:
        """Replace the reservations by what was really sent."""
        self.there.settle(self.there_reservation, sent_bytes)
        self.back.settle(self.back_reservation, received_bytes)


class TrafficLimits:
    """Rate limits of one entry host.

    Parameters
    ----------
    clock : Clock
        Source of time.
    holder : LeaseHolder
        Leased shares.
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
        """Take over the limits of a new configuration."""
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
        self._gates = {shift.name: self._gate(shift) for shift in declaration.shifts}
        self.refresh()

    def refresh(self) -> None:
        """Take over the shares that the lease gives now, and say what is wanted."""
        for key, window in self._regions.items():
            self.holder.note_rate_demand(key, window.wanted())
            window.set_limit(int(self.holder.rate(key)))
        for key, budget in self._links.items():
            self.holder.note_rate_demand(key, budget.wanted())
            budget.set_limit(int(self.holder.rate(key)))
        for gate in self._gates.values():
            key = _shift_key(gate.shift)
            self.holder.note_rate_demand(key, gate.wanted())
            if self.holder.is_valid():
                gate.set_rate(self.holder.rate(key))
            else:
                gate.suspend()

    def choose_shift(self, service: str, home_region: str) -> ShiftGate | None:
        """Return the shift that moves this request, or None.

        To be asked exactly once for each request.
        """
        if not self.holder.is_valid():
            self.refresh()
        for gate in self.gates_of(service, home_region):
            if gate.choose():
                return gate
        return None

    def gates_of(self, service: str, home_region: str) -> tuple[ShiftGate, ...]:
        """Return the shifts of a service out of a region."""
        return tuple(
            gate
            for gate in self._gates.values()
            if gate.shift.service == service and gate.shift.from_region == home_region
        )

    def gates(self) -> tuple[ShiftGate, ...]:
        """Return every shift."""
        return tuple(self._gates.values())

    def region_has_room(self, service: str, region: str) -> bool:
        """Return whether a request may go to a region now."""
        window = self._regions.get(LimitKey.for_region(service, region))
        return window is None or window.used() < window.limit_per_s

    def take_region(self, service: str, region: str) -> bool:
        """Count one request to a region; return whether the limit allows it."""
        window = self._regions.get(LimitKey.for_region(service, region))
        return window is None or window.try_take()

    def link_exists(self, region: str) -> bool:
        """Return whether links both ways to a region are declared."""
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
        """Reserve both ways of the link to another region.

        Returns
        -------
        LinkUse or None
            None if a way is not declared or its share is used up.
        """
        there = self._links.get(LimitKey.for_link(self.own_region, region))
        back = self._links.get(LimitKey.for_link(region, self.own_region))
        if there is None or back is None:
            return None
        there_reservation = there.reserve(request_bytes)
        if there_reservation is None:
            self._note_limit(self.own_region, region, there)
            return None
        back_reservation = back.reserve(answer_bytes)
        if back_reservation is None:
            there.settle(there_reservation, 0)
            self._note_limit(region, self.own_region, back)
            return None
        return LinkUse(there, back, there_reservation, back_reservation)

    def _gate(self, shift: Shift) -> ShiftGate:
        gate = self._gates.get(shift.name)
        if gate is None or _shift_key(gate.shift) != _shift_key(shift):
            return ShiftGate(self.clock, shift)
        gate.set_shift(shift)
        return gate

    def _note_limit(self, from_region: str, to_region: str, budget: LinkBudget):
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
