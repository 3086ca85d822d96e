"""A request to a backend server, its answer and its errors."""

import attrs
from multidict import CIMultiDict, CIMultiDictProxy

from bulrushlead.results import BulrushleadError, Ran, ResultCode

# Methods whose requests may be retried after an attempt that may have run.
RETRYABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@attrs.frozen
class ForwardRequest:
    """A complete request to a backend server.

    Parameters
    ----------
    method : str
        HTTP method.
    path_qs : str
        Path and query string, percent-encoded, forwarded unchanged.
    headers : CIMultiDict or CIMultiDictProxy
        The caller's headers; hop-by-hop headers are not forwarded.
    body : bytes
        The whole body.
    deadline_ms : float
        Time by which the answer must be complete, on this host's clock, in
        milliseconds.
    idempotency_key : str or None
        Idempotency key, which is forwarded to the backend server.
    retryable : bool
        Whether running the request twice is safe.
    """

    method: str
    path_qs: str
    headers: CIMultiDict[str] | CIMultiDictProxy[str]
    body: bytes
    deadline_ms: float
    idempotency_key: str | None = None
    retryable: bool = False


@attrs.frozen
class ForwardAnswer:
    """A complete answer of a backend server.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : CIMultiDict
        Headers without hop-by-hop headers.
    body : bytes
        The whole body, as the backend server encoded it.
    """

    status: int
    headers: CIMultiDict[str]
    body: bytes


class ForwardError(BulrushleadError):
    """Failure of an attempt: there is no complete answer.

    Parameters
    ----------
    code : ResultCode
        Kind of the failure.
    detail : str
        The server, what happened, and the remedy.
    ran : Ran, optional
        Whether the request can have run; the default is that of the code.
    """

    def __init__(self, code: ResultCode, detail: str, ran: Ran | None = None):
        super().__init__(code, detail)
        self.ran = ran if ran is not None else self.info.ran


def ran_of(error: BaseException) -> Ran:
    """Return whether the request of a failed attempt can have run.

    Parameters
    ----------
    error : BaseException
        The exception that the attempt raised.

    Returns
    -------
    Ran
        That of a `BulrushleadError`; ``Ran.UNKNOWN`` for any other exception.
    """
    if isinstance(error, ForwardError):
        return error.ran
    if isinstance(error, BulrushleadError):
        return error.info.ran
    return Ran.UNKNOWN
