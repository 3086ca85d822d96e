"""Error for a request that was refused before it ran."""

from bulrushlead.results import BulrushleadError, ResultCode


class AdmissionRefusedError(BulrushleadError):
    """Raised when a request is refused before any byte of it is sent.

    Parameters
    ----------
    code : ResultCode
        ``OVERLOADED``, ``DEADLINE_TOO_SHORT`` or ``STOPPING``.
    detail : str
        Reason, with the estimated times.
    retry_after_ms : float
        Time after which the caller may retry, in milliseconds.
    """

    def __init__(self, code: ResultCode, detail: str, retry_after_ms: float):
        super().__init__(code, detail)
        self.retry_after_ms = retry_after_ms
