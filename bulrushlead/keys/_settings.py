"""Settings of idempotency keys, and the interface to their replicated state."""

from typing import Any, Protocol

import attrs


class KeyControl(Protocol):
    """Sends commands to the replicated state of idempotency keys."""

    async def call(self, command: Any) -> Any:
        """Return the reply to a command or a `ReadKey`.

        Raises
        ------
        BulrushleadError
            If there is no reply; the command may have been applied.
        """
        ...


@attrs.frozen
class KeySettings:
    """Timeouts and limits of idempotency keys on an entry host.

    Parameters
    ----------
    host, incarnation : str
        Name of this entry host, and its incarnation.
    call_timeout_ms : float
        Timeout of one call to the control hosts, in milliseconds.
    retry_interval_ms : float
        Pause before a call is retried, in milliseconds.
    first_poll_ms, max_poll_ms : float
        Shortest and longest pause between two reads of a key that another host
        has claimed, in milliseconds.
    record_wait_ms : float
        Longest time that an answer is delayed until it is recorded, in
        milliseconds; recording continues in the background after that.
    max_record_attempts : int
        Maximum number of attempts to record one outcome.
    abandon_after_ms : float
        Time after which an attempt of another host is abandoned, in milliseconds;
        at least the longest request duration of any service.
    max_recorded_answer_bytes : int
        Largest answer that is recorded, headers and body together, in bytes.
    close_timeout_ms : float
        Longest time that ``close()`` waits, in milliseconds.
    """

    host: str
    incarnation: str
    call_timeout_ms: float = 500
    retry_interval_ms: float = 50
    first_poll_ms: float = 20
    max_poll_ms: float = 250
    record_wait_ms: float = 250
    max_record_attempts: int = 1_000
    abandon_after_ms: float = 35_000
    max_recorded_answer_bytes: int = 64 * 1024
    close_timeout_ms: float = 30_000
