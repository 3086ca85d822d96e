"""Holding side of the lease protocol, on every entry host."""

import attrs

from bulrushlead.clock import Clock
from bulrushlead.leases._messages import (
    Demand,
    HeldSlots,
    LeaseGrant,
    LeaseRequest,
    LimitKey,
    RateShare,
)
from bulrushlead.logs import Event, EventLogger


@attrs.frozen
class SlotToken:
    """The right to have one request in flight at a backend server.

    Parameters
    ----------
    server : str
        Name of the backend server.
    server_incarnation : str
        Run of the server that the leader knew.
    taken_at_ms : float
        When the token was taken. Its request must have ended once the service's
        longest duration has passed since then.
    number : int
        Identifies the token; later tokens have higher numbers.
    """

    server: str
    server_incarnation: str
    taken_at_ms: float
    number: int


@attrs.define
class _ServerSlots:
    """What the host holds of one backend server."""

    incarnation: str = ""
    count: int = 0
    connections: int = 0
    tokens: set[int] = attrs.field(factory=set)

    def free(self) -> int:
        return max(0, self.count - len(self.tokens))


class LeaseHolder:
    """Uses leased shares of slots and rates.

    Parameters
    ----------
    clock : Clock
        Clock of the entry host.
    host : str
        Name of the entry host.
    incarnation : str
        Identifier of this run of the process, different in every run.

    Notes
    -----
    Only the answer to the latest request is ever applied. When the leader reads
    a request it therefore knows that no earlier grant can still be applied, and
    that the report in the request bounds what the host holds.

    After the end of the lease no token can be taken and every rate is 0; tokens
    in use stay valid until they are returned.
    """

    def __init__(self, clock: Clock, host: str, incarnation: str):
        self.clock = clock
        self.host = host
        self.incarnation = incarnation
        self._term = 0
        self._sequence = 0
        self._sent_at_ms = 0.0
        self._awaiting = False
        self._acked_sequence = 0
        self._lease_end_ms = float("-inf")
        self._lapse_logged = True
        self._servers: dict[str, _ServerSlots] = {}
        self._rates: dict[LimitKey, int] = {}
        self._demands: dict[tuple[str, str], Demand] = {}
        self._rate_demands: dict[LimitKey, int] = {}
        self._last_token = 0
        self._first_valid_token = 1
        self._leaving = False
        self._log = EventLogger("leases")

    def build_request(self) -> LeaseRequest:
        """Return the next renewal, and remember when it was sent.

        Returns
        -------
        LeaseRequest
            To be sent at once. Any answer to an earlier request is now void.
        """
        if not self.is_valid():
            self._drop_shares()
        self._sequence += 1
        self._sent_at_ms = self.clock.now_ms()
        self._awaiting = True
        return LeaseRequest(
            host=self.host,
            incarnation=self.incarnation,
            term=self._term,
            sequence=self._sequence,
            acked_sequence=self._acked_sequence,
            held=self._held(),
            rates=() if self._acked_sequence else self._held_rates(),
            demands=tuple(d for d in self._demands.values() if d.waiting > 0),
            rate_demands=tuple(
                RateShare(key, wanted)
                for key, wanted in self._rate_demands.items()
                if wanted > 0
            ),
            leaving=self._leaving,
        )

    def apply_grant(self, grant: LeaseGrant) -> bool:
        """Put a grant in force, unless it is void.

        Parameters
        ----------
        grant : LeaseGrant
            Answer of the leader, possibly late, repeated or of an old term.

        Returns
        -------
        bool
            Whether the grant was put in force. If it was not, and
            ``needs_report`` is true, a new request should be sent at once.
        """
        if not self._answers_latest_request(grant):
            return False
        self._awaiting = False
        if grant.term > self._term:
            self._term = grant.term
            self._acked_sequence = 0
        if grant.lease_ms <= 0:
            return False
        self._acked_sequence = grant.sequence
        self._lease_end_ms = self._sent_at_ms + grant.lease_ms
        self._lapse_logged = False
        self._put_in_force(grant)
        return True

    def needs_report(self) -> bool:
        """Return whether a new leader waits for a report under its term."""
        return self._term > 0 and self._acked_sequence == 0 and not self._awaiting

    def term(self) -> int:
        """Return the highest term from which an answer was accepted."""
        return self._term

    def is_valid(self) -> bool:
        """Return whether new work may start now."""
        return self.clock.now_ms() < self._lease_end_ms

    def remaining_ms(self) -> float:
        """Return the time until the lease ends, in milliseconds; 0 if it has."""
        return max(0.0, self._lease_end_ms - self.clock.now_ms())

    def take_slot(self, server_name: str) -> SlotToken | None:
        """Take a free slot of a backend server.

        Returns
        -------
        SlotToken or None
            None if the lease has ended or the host has no free slot there.
        """
        slots = self._servers.get(server_name)
        if slots is None or slots.free() < 1 or not self.is_valid():
            return None
        self._last_token += 1
        slots.tokens.add(self._last_token)
        return SlotToken(
            server=server_name,
            server_incarnation=slots.incarnation,
            taken_at_ms=self.clock.now_ms(),
            number=self._last_token,
        )

    def may_start(self, token: SlotToken) -> bool:
        """Return whether the request of a token may be sent now.

        To be asked right before the first byte is sent: the process may have
        been suspended since the token was taken. A token from before a lapse of
        the lease never becomes good again, since the leader may have granted
        its slot to another host.
        """
        return self.is_valid() and token.number >= self._first_valid_token

    def return_slot(self, token: SlotToken) -> None:
        """Return a token once its request can no longer be running.

        Repeated returns of one token have no effect.
        """
        slots = self._servers.get(token.server)
        if slots is not None:
            slots.tokens.discard(token.number)
            self._forget_if_unused(token.server)

    def free_slots(self, server_name: str) -> int:
        """Return how many tokens of a backend server can be taken now."""
        slots = self._servers.get(server_name)
        return slots.free() if slots is not None and self.is_valid() else 0

    def held_slots(self, server_name: str) -> int:
        """Return how many slots of a backend server the host holds or uses."""
        slots = self._servers.get(server_name)
        return max(slots.count, len(slots.tokens)) if slots is not None else 0

    def servers_with_slots(self) -> tuple[str, ...]:
        """Return the names of the backend servers with a free slot."""
        if not self.is_valid():
            return ()
        return tuple(name for name, slots in self._servers.items() if slots.free() > 0)

    def connections(self, server_name: str) -> int:
        """Return how many connections to a backend server may be open.

        The owner of the connections closes what is above this before the next
        request is built.
        """
        slots = self._servers.get(server_name)
        return slots.connections if slots is not None else 0

    def note_demand(self, service: str, region: str, waiting: int) -> None:
        """Set how many requests wait for a slot of a service in a region."""
        self._demands[(service, region)] = Demand(service, region, waiting)

    def note_rate_demand(self, key: LimitKey, wanted_per_s: int) -> None:
        """Set the share of a limit that would suit what this host sends."""
        self._rate_demands[key] = wanted_per_s

    def rate(self, key: LimitKey) -> float:
        """Return the share of a rate limit, per second; 0 without a lease."""
        return float(self._rates.get(key, 0)) if self.is_valid() else 0.0

    def give_back(self) -> None:
        """Give up every share, as the next request then reports.

        For an orderly stop: running work goes on, no new work starts.
        """
        self._leaving = True
        self._lease_end_ms = float("-inf")
        self._lapse_logged = True

    def _answers_latest_request(self, grant: LeaseGrant) -> bool:
        return (
            self._awaiting
            and grant.host == self.host
            and grant.incarnation == self.incarnation
            and grant.sequence == self._sequence
            and grant.term >= self._term
            and not (self._leaving and grant.lease_ms > 0)
        )

    def _put_in_force(self, grant: LeaseGrant) -> None:
        self._rates = {share.key: share.amount_per_s for share in grant.rates}
        for slots in self._servers.values():
            slots.count = 0
            slots.connections = 0
        for share in grant.slots:
            slots = self._servers.setdefault(share.server, _ServerSlots())
            slots.incarnation = share.incarnation
            slots.count = share.count
            slots.connections = share.connections
        for name in list(self._servers):
            self._forget_if_unused(name)

    def _drop_shares(self) -> None:
        if not self._lapse_logged:
            self._lapse_logged = True
            late_ms = self.clock.now_ms() - self._lease_end_ms
            self._log.write(Event.LEASE_EXPIRED, host=self.host, late_ms=late_ms)
        self._first_valid_token = self._last_token + 1
        self._rates = {}
        for name in list(self._servers):
            self._servers[name].count = 0
            self._servers[name].connections = 0
            self._forget_if_unused(name)

    def _forget_if_unused(self, name: str) -> None:
        slots = self._servers[name]
        if slots.count == 0 and not slots.tokens:
            del self._servers[name]

    def _held(self) -> tuple[HeldSlots, ...]:
        return tuple(
            HeldSlots(name, max(slots.count, len(slots.tokens)), len(slots.tokens))
            for name, slots in self._servers.items()
        )

    def _held_rates(self) -> tuple[RateShare, ...]:
        return tuple(RateShare(key, amount) for key, amount in self._rates.items())
