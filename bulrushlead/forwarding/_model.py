"""A request toward a backend server, its answer and its errors."""

import attrs
from multidict import CIMultiDict, CIMultiDictProxy

from bulrushlead.results import BulrushleadError, Ran, ResultCode

REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@attrs.frozen
class ForwardRequest:
    """A whole request, ready to be sent to a backend server.

    Parameters
    ----------
    method : str
        HTTP method.
    path_qs : str
        Path and query string, percent-encoded, passed through unchanged.
    headers : CIMultiDict or CIMultiDictProxy
        The caller's headers; hop-by-hop headers are not passed on.
    body : bytes
        The whole body.
    deadline_ms : float
        When the answer is due, on this host's clock, in milliseconds.
    idempotency_key : str or None
        Key passed on to the backend server.
    repeatable : bool
        Whether running it twice is safe.
    """

    method: str
    path_qs: str
    headers: CIMultiDict[str] | CIMultiDictProxy[str]
    body: bytes
    deadline_ms: float
    idempotency_key: str | None = None
    repeatable: bool = False


@attrs.frozen
class ForwardAnswer:
    """A complete answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : CIMultiDict
        Headers without the hop-by-hop ones.
    body : bytes
        The whole body, as the backend server encoded it.
    """

    status: int
    headers: CIMultiDict[str]
    body: bytes


class ForwardError(BulrushleadError):
    """An attempt that brought no complete answer.

    Parameters
    ----------
    code : ResultCode
        What went wrong.
    detail : str
        Which server, what was seen, and what to do about it.
    ran : Ran, optional
        Whether the request can have run; by default what the code says.
    """

    def __init__(self, code: ResultCode, detail: str, ran: Ran | None = None):
        super().__init__(code, detail)
        self.ran = ran if ran is not None else self.info.ran


def ran_of(error: BaseException) -> Ran:
    """Return whether the request of a failed attempt can have run.

    Parameters
    ----------
    error : BaseException
        What the attempt raised.

    Returns
    -------
    Ran
        ``Ran.UNKNOWN`` for every error that does not say so itself.
    """
    if isinstance(error, ForwardError):
        return error.ran
    if isinstance(error, BulrushleadError):
        return error.info.ran
    return Ran.UNKNOWN
