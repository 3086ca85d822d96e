"""Execution records and injectable faults of the sample backend server."""

import asyncio
from enum import Enum

import attrs


class ExecutionEnd(Enum):
    """State of an execution: running, or how it ended.

    An execution is cancelled at its timeout, or when the caller disconnects or the
    server closes.
    """

    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


class ClosePoint(Enum):
    """Point at which the server closes the connection instead of answering."""

    NEVER = "never"
    BEFORE_RUNNING = "before_running"
    AFTER_RUNNING = "after_running"


@attrs.define
class Execution:
    """Record of one execution of a request.

    Parameters
    ----------
    sequence : int
        Number of the execution on this server, from 1.
    key : str or None
        Idempotency key of the request, if it has one.
    method, path : str
        HTTP method, and path with query string.
    body : bytes
        Request body.
    draining : bool
        Whether the server was draining when the execution started.
    started_ms : float
        Start time on the server's clock, in milliseconds.
    end : ExecutionEnd
        Whether it is running, done or cancelled.
    """

    sequence: int
    key: str | None
    method: str
    path: str
    body: bytes
    draining: bool
    started_ms: float
    end: ExecutionEnd = ExecutionEnd.RUNNING


@attrs.define
class ServerFaults:
    """Faults that a test can inject while the server runs.

    Parameters
    ----------
    extra_ms : float
        Time added to each execution, in milliseconds.
    gate : asyncio.Event or None
        If given, each execution waits until the event is set.
    status : int
        HTTP status of answers to finished executions; 500 simulates a failing server.
    reported_load : float or None
        Load to announce instead of the actual one, 0 to 1.
    refuse : bool
        Refuse every request without running it.
    truncate : bool
        Send only half of each answer's body, then close the connection.
    close_at : ClosePoint
        Point at which the connection is closed without an answer.
    """

    extra_ms: float = 0.0
    gate: asyncio.Event | None = None
    status: int = 200
    reported_load: float | None = None
    refuse: bool = False
    truncate: bool = False
    close_at: ClosePoint = ClosePoint.NEVER
