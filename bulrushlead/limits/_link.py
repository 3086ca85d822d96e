"""Limit on the bytes per second in one direction between two regions."""

import attrs

from bulrushlead.clock import Clock
from bulrushlead.limits._window import RateWindow, wanted_limit


@attrs.define(eq=False)
class Reservation:
    """Bytes reserved for one message.

    Parameters
    ----------
    remaining_bytes : int
        Reserved and not yet recorded.
    recorded_bytes : int
        Sent so far.
    is_open : bool
        Whether the message may still send bytes.
    """

    remaining_bytes: int
    recorded_bytes: int = 0
    is_open: bool = True


class LinkBudget:
    """Enforces the leased bandwidth share in one direction between two regions.

    Parameters
    ----------
    clock : Clock
        Clock of the entry host.
    limit_bytes_per_s : int
        Leased share; 0 after the lease has ended.

    Notes
    -----
    Before its first byte is sent, a request over a link reserves its own size in
    the direction to the server and the expected size of its answer in the other
    direction. Reserved bytes count against the limit until they are recorded or
    settled, however long that takes; recorded bytes count for one window. If the
    share is lowered or an answer is larger than expected, the bytes may exceed the
    limit once: the excess counts as well, and delays later messages.
    """

    def __init__(self, clock: Clock, limit_bytes_per_s: int):
        self.clock = clock
        self.limit_bytes_per_s = limit_bytes_per_s
        self._window = RateWindow(clock, limit_bytes_per_s)
        self._reserved_bytes = 0

    def reserve(self, estimated_bytes: int) -> Reservation | None:
        """Reserve bytes for a message before it is sent.

        Returns
        -------
        Reservation or None
            None if the bytes exceed the rest of the share.
        """
        if self.used_bytes() + estimated_bytes > self._window.limit_per_s:
            return None
        self._reserved_bytes += estimated_bytes
        return Reservation(estimated_bytes)

    def record(self, reservation: Reservation, sent_bytes: int) -> bool:
        """Record bytes of a message as they are sent.

        Returns
        -------
        bool
            False if the message exceeds its reservation by more than the rest of
            the share: nothing was recorded, and the bytes must wait for
            ``retry_after_ms``.
        """
        covered = min(sent_bytes, reservation.remaining_bytes)
        extra = sent_bytes - covered
        if extra and self.used_bytes() + extra > self._window.limit_per_s:
            return False
        self._count_sent(reservation, covered, sent_bytes)
        return True

    def settle(self, reservation: Reservation, actual_bytes: int) -> None:
        """Replace the reservation by the total that was sent.

        Settling a reservation again has no effect.
        """
        if not reservation.is_open:
            return
        unrecorded = max(0, actual_bytes - reservation.recorded_bytes)
        self._count_sent(reservation, reservation.remaining_bytes, unrecorded)
        reservation.is_open = False

    def used_bytes(self) -> int:
        """Return the bytes sent in the window that ends now plus those reserved."""
        return self._window.used() + self._reserved_bytes

    def wanted(self) -> int:
        """Return the share to request for the current use, in bytes per second."""
        return wanted_limit(self.used_bytes(), self._window.limit_per_s)

    def retry_after_ms(self, size_bytes: int) -> float:
        """Return the estimated time until ``size_bytes`` fit, in milliseconds."""
        return self._window.retry_after_ms(size_bytes + self._reserved_bytes)

    def set_limit(self, limit_bytes_per_s: int) -> None:
        """Change the share."""
        self.limit_bytes_per_s = limit_bytes_per_s
        self._window.set_limit(limit_bytes_per_s)

    def _count_sent(
        self, reservation: Reservation, covered: int, sent_bytes: int
    ) -> None:
        reservation.remaining_bytes -= covered
        reservation.recorded_bytes += sent_bytes
        self._reserved_bytes -= covered
        self._window.record(sent_bytes)
