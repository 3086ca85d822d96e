"""What the sample backend server ran, and the faults it can be told to show."""

import asyncio
from enum import Enum

import attrs


class ExecutionEnd(Enum):
    """How an execution ended."""

    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


class ClosePoint(Enum):
    """When the server closes the connection instead of answering."""

    NEVER = "never"
    BEFORE_RUNNING = "before_running"
    AFTER_RUNNING = "after_running"


@attrs.define
class Execution:
    """One run of one request.

    Parameters
    ----------
    sequence : int
        Counts the executions of this server, from 1.
    key : str or None
        Idempotency key of the request.
    method, path : str
        Method, and path with query string.
    body : bytes
        Body received.
    draining : bool
        Whether the server was draining when the execution began.
    started_ms : float
        When it began, on the server's clock.
    end : ExecutionEnd
        How it ended.
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
    """Faults that a test switches on while the server runs.

    Parameters
    ----------
    extra_ms : float
        Time added to each execution, in milliseconds.
    gate : asyncio.Event or None
        Executions wait for it before they end.
    status : int
        Status of each answer; 500 makes the server fail.
    reported_load : float or None
        Load announced in place of the true one.
    refuse : bool
        Refuse every request before running it.
    truncate : bool
        Send half of each answer's body, then close the connection.
    close_at : ClosePoint
        Where the connection is closed without any answer.
    """

    extra_ms: float = 0.0
    gate: asyncio.Event | None = None
    status: int = 200
    reported_load: float | None = None
    refuse: bool = False
    truncate: bool = False
    close_at: ClosePoint = ClosePoint.NEVER
