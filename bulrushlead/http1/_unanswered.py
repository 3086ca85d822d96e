"""Requests that a server received whole and did not answer."""

from bulrushlead.clock import Clock
from bulrushlead.http1._messages import Request
from bulrushlead.logs import Event, EventLogger

STOP_CAUSE = "this process stops"


class UnansweredRequests:
    """Writes one line for each request whose connection ends before its whole answer.

    Parameters
    ----------
    clock : Clock
        Source of time.
    log : EventLogger
        Log of the server.

    Attributes
    ----------
    id_header : bytes
        Name of the header field with the identifier of a request; empty for none.
    count, broken_off : int
        Such requests since the start: all, and those that the stop of this process
        broke off.
    """

    def __init__(self, clock: Clock, log: EventLogger):
        self.clock = clock
        self.log = log
        self.id_header = b""
        self.count = 0
        self.broken_off = 0

    def record(self, request: Request, cause: str, is_answered: bool) -> None:
        """Write the line of a request.

        Parameters
        ----------
        request : Request
            The request.
        cause : str
            Why its connection has ended.
        is_answered : bool
            Whether there was an answer, and a part of it was not sent.
        """
        self.count += 1
        self.broken_off += cause == STOP_CAUSE
        request_id = (request.header(self.id_header) or b"") if self.id_header else b""
        self.log.write(
            Event.REQUEST_UNANSWERED,
            request_id=request_id.decode("latin-1"),
            age_ms=round(self.clock.now_ms() - request.received_ms, 1),
            cause=cause,
            sent_on=request.sent_on,
            answered=is_answered,
        )


def end_cause(close_cause: str, error: Exception | None) -> str:
    """Return why a connection has ended, for the log lines of its requests.

    Parameters
    ----------
    close_cause : str
        Why this host closed it; empty if it did not.
    error : Exception or None
        Error of the connection; None if the caller closed it.
    """
    if close_cause:
        return close_cause
    return "the caller closed" if error is None else f"connection lost: {error}"
