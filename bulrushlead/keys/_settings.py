"""What an entry host needs for idempotency keys."""

from typing import Any, Protocol

import attrs


class KeyControl(Protocol):
    """Way to the replicated state of idempotency keys."""

    async def call(self, command: Any) -> Any:
        """Return the reply to a command or a `ReadKey`.

        Raises
        ------
        BulrushleadError
            If there is no reply; the command may have taken effect.
        """
        ...


@attrs.frozen
class KeySettings:
    """How an entry host works with idempotency keys.

    Parameters
    ----------
    host, incarnation : str
        This entry host, and this run of it.
    call_timeout_ms : float
        Time for one call to the control hosts, in milliseconds.
    resend_interval_ms : float
        Pause before a call is sent again, in milliseconds.
    first_poll_ms, max_poll_ms : float
        Shortest and longest pause between two reads of a key that another host
        holds, in milliseconds.
    record_wait_ms : float
        Longest time that an answer waits for its own record, in milliseconds;
        recording goes on after that.
    record_attempts : int
        Most tries to record one outcome.
    abandon_after_ms : float
        Time after which an attempt of another host is taken to be gone; at least
        the longest request duration of any service, in milliseconds.
    max_kept_answer_bytes : int
        Largest answer that is recorded.
    close_timeout_ms : float
        Longest time that ``close()`` waits, in milliseconds.
    """

    host: str
    incarnation: str
    call_timeout_ms: float = 500
    resend_interval_ms: float = 50
    first_poll_ms: float = 20
    max_poll_ms: float = 250
    record_wait_ms: float = 250
    record_attempts: int = 1_000
    abandon_after_ms: float = 35_000
    max_kept_answer_bytes: int = 64 * 1024
    close_timeout_ms: float = 30_000
