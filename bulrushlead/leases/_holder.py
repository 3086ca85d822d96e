"""Lease holder that runs on every entry host."""

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
        Incarnation of the server when the leader granted the slot.
    acquired_ms : float
        Time at which the token was acquired, on the clock of the entry host. Its
        request must end within the service's maximum duration after this time.
    number : int
        Unique number of the token; later tokens have higher numbers.
    """

    server: str
    server_incarnation: str
    acquired_ms: float
    number: int


@attrs.define
class _ServerSlots:
    """Slots, connections and tokens held for one backend server."""

    incarnation: str = ""
    count: int = 0
    connections: int = 0
    tokens: set[int] = attrs.field(factory=set)

    def free(self) -> int:
        return max(0, self.count - len(self.tokens))


class LeaseHolder:
    """Tracks the shares leased to an entry host and hands out slot tokens.

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
    Only the reply to the latest request is applied. When the leader receives a
    request, no earlier grant can therefore still be applied, and the report in
    the request is an upper bound of what the host holds.

    After the lease expires no token can be acquired and every rate is 0. Tokens
    of running requests stay counted until they are released.
    """

    def __init__(self, clock: Clock, host: str, incarnation: str):
        self.clock = clock
        self.host = host
        self.incarnation = incarnation
        self._term = 0
        self._sequence = 0
        self._sent_ms = 0.0
        self._awaiting_reply = False
        self._acked_sequence = 0
        self._lease_end_ms = float("-inf")
        self._expiry_logged = True
        self._servers: dict[str, _ServerSlots] = {}
        self._rates: dict[LimitKey, int] = {}
        self._demands: dict[tuple[str, str], Demand] = {}
        self._rate_demands: dict[LimitKey, int] = {}
        self._last_token = 0
        self._first_valid_token = 1
        self._leaving = False
        self._log = EventLogger("leases")

    def build_request(self) -> LeaseRequest:
        """Build the next renewal request and record its send time.

        Returns
        -------
        LeaseRequest
            Must be sent immediately. Replies to earlier requests are ignored from
            now on.
        """
        if not self.is_valid():
            self._drop_shares()
        self._sequence += 1
        self._sent_ms = self.clock.now_ms()
        self._awaiting_reply = True
        return LeaseRequest(
            host=self.host,
            incarnation=self.incarnation,
            term=self._term,
            sequence=self._sequence,
            acked_sequence=self._acked_sequence,
            held=self._build_slot_report(),
            rates=() if self._acked_sequence else self._build_rate_report(),
            demands=tuple(d for d in self._demands.values() if d.waiting > 0),
            rate_demands=tuple(
                RateShare(key, wanted)
                for key, wanted in self._rate_demands.items()
                if wanted > 0
            ),
            leaving=self._leaving,
        )

    def apply_grant(self, grant: LeaseGrant) -> bool:
        """Apply a grant if it answers the latest request.

        Parameters
        ----------
        grant : LeaseGrant
            Reply of the leader; may be late, duplicated or of an earlier term.

        Returns
        -------
        bool
            Whether the grant was applied. If it was not, and ``needs_report`` is
            true, a new request should be sent immediately.
        """
        if not self._answers_latest_request(grant):
            return False
        self._awaiting_reply = False
        if grant.term > self._term:
            self._term = grant.term
            self._acked_sequence = 0
        if grant.lease_ms <= 0:
            return False
        self._acked_sequence = grant.sequence
        self._lease_end_ms = self._sent_ms + grant.lease_ms
        self._expiry_logged = False
        self._replace_shares(grant)
        return True

    def needs_report(self) -> bool:
        """Return whether a new leader is waiting for a report in its term."""
        return self._term > 0 and self._acked_sequence == 0 and not self._awaiting_reply

    def term(self) -> int:
        """Return the highest term of which a reply was accepted."""
        return self._term

    def is_valid(self) -> bool:
        """Return whether the lease is unexpired, so that new requests may start."""
        return self.clock.now_ms() < self._lease_end_ms

    def remaining_ms(self) -> float:
        """Return the time until the lease expires in ms, or 0 if it has expired."""
        return max(0.0, self._lease_end_ms - self.clock.now_ms())

    def acquire_slot(self, server_name: str) -> SlotToken | None:
        """Acquire a free slot of a backend server.

        Returns
        -------
        SlotToken or None
            None if the lease has expired or the host holds no free slot there.
        """
        slots = self._servers.get(server_name)
        if slots is None or slots.free() < 1 or not self.is_valid():
            return None
        self._last_token += 1
        slots.tokens.add(self._last_token)
        return SlotToken(
            server=server_name,
            server_incarnation=slots.incarnation,
            acquired_ms=self.clock.now_ms(),
            number=self._last_token,
        )

    def may_start(self, token: SlotToken) -> bool:
        """Return whether the request of a token may be sent now.

        Call this immediately before sending the first byte, because the process
        may have been suspended since it acquired the token. A token that was
        acquired before the lease expired stays invalid after a renewal, since the
        leader may have granted its slot to another host.
        """
        return self.is_valid() and token.number >= self._first_valid_token

    def release_slot(self, token: SlotToken) -> None:
        """Release a token once its request can no longer be running.

        Releasing a token again has no effect.
        """
        slots = self._servers.get(token.server)
        if slots is not None:
            slots.tokens.discard(token.number)
            self._remove_if_unused(token.server)

    def free_slots(self, server_name: str) -> int:
        """Return how many tokens of a backend server can be acquired now."""
        slots = self._servers.get(server_name)
        return slots.free() if slots is not None and self.is_valid() else 0

    def held_slots(self, server_name: str) -> int:
        """Return the larger of the slots granted and the slots in use at a server."""
        slots = self._servers.get(server_name)
        return max(slots.count, len(slots.tokens)) if slots is not None else 0

    def servers_with_free_slots(self) -> tuple[str, ...]:
        """Return the names of the backend servers with a free slot."""
        if not self.is_valid():
            return ()
        return tuple(name for name, slots in self._servers.items() if slots.free() > 0)

    def connections(self, server_name: str) -> int:
        """Return how many connections to a backend server may be open.

        The code that owns the connections closes any excess before the next
        renewal request is built.
        """
        slots = self._servers.get(server_name)
        return slots.connections if slots is not None else 0

    def set_demand(self, service: str, region: str, waiting: int) -> None:
        """Set the number of requests that wait for a slot of a service in a region."""
        self._demands[(service, region)] = Demand(service, region, waiting)

    def set_rate_demand(self, key: LimitKey, wanted_per_s: int) -> None:
        """Set the share of a rate limit that this host's traffic requires."""
        self._rate_demands[key] = wanted_per_s

    def rate(self, key: LimitKey) -> float:
        """Return the share of a rate limit, per second; 0 without a valid lease."""
        return float(self._rates.get(key, 0)) if self.is_valid() else 0.0

    def release_shares(self) -> None:
        """Release every share for a graceful stop.

        Running requests continue and no new ones start. The next renewal request
        reports to the leader that the host is leaving.
        """
        self._leaving = True
        self._lease_end_ms = float("-inf")
        self._expiry_logged = True

    def _answers_latest_request(self, grant: LeaseGrant) -> bool:
        return (
            self._awaiting_reply
            and grant.host == self.host
            and grant.incarnation == self.incarnation
            and grant.sequence == self._sequence
            and grant.term >= self._term
            and not (self._leaving and grant.lease_ms > 0)
        )

    def _replace_shares(self, grant: LeaseGrant) -> None:
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
            self._remove_if_unused(name)

    def _drop_shares(self) -> None:
        if not self._expiry_logged:
            self._expiry_logged = True
            late_ms = self.clock.now_ms() - self._lease_end_ms
            self._log.write(Event.LEASE_EXPIRED, host=self.host, late_ms=late_ms)
        self._first_valid_token = self._last_token + 1
        self._rates = {}
        for name in list(self._servers):
            self._servers[name].count = 0
            self._servers[name].connections = 0
            self._remove_if_unused(name)

    def _remove_if_unused(self, name: str) -> None:
        slots = self._servers[name]
        if slots.count == 0 and not slots.tokens:
            del self._servers[name]

    def _build_slot_report(self) -> tuple[HeldSlots, ...]:
        return tuple(
            HeldSlots(name, max(slots.count, len(slots.tokens)), len(slots.tokens))
            for name, slots in self._servers.items()
        )

    def _build_rate_report(self) -> tuple[RateShare, ...]:
        return tuple(RateShare(key, amount) for key, amount in self._rates.items())
