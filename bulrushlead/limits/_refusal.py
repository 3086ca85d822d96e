"""The refusal of a request that has not run."""

from bulrushlead.results import BulrushleadError, ResultCode


class AdmissionRefusedError(BulrushleadError):
    """A request was refused before any byte of it was sent.

    Parameters
    ----------
    code : ResultCode
        ``OVERLOADED``, ``DEADLINE_TOO_SHORT`` or ``STOPPING``.
    detail : str
        Why, with the estimated times.
    retry_after_ms : float
        When the caller may try again.
    """

    def __init__(self, code: ResultCode, detail: str, retry_after_ms: float):
        super().__init__(code, detail)
        self.retry_after_ms = retry_after_ms
