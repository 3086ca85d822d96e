"""Errors that carry a result code."""

import attrs

from bulrushlead.results._codes import CODES, CodeInfo, ResultCode


class BulrushleadError(Exception):
    """An error with a numbered result code.

    Parameters
    ----------
    code : ResultCode
        Number of the error.
    detail : str
        What is wrong, with the invalid value, and the remedy.
    """

    def __init__(self, code: ResultCode, detail: str):
        super().__init__(f"{code.name} ({code.value}): {detail}")
        self.code = code
        self.detail = detail

    @property
    def info(self) -> CodeInfo:
        """Meaning and statuses of the code."""
        return CODES[self.code]


@attrs.frozen
class Fault:
    """One fault in a file or call, which is validated as a whole.

    Parameters
    ----------
    key : str
        Dotted path of the value, for example ``"services.stock.timeout_ms"``.
    value : str
        Value found, as text.
    allowed : str
        Values that are allowed.
    """

    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.key}: found {self.value}; allowed: {self.allowed}"


class FaultsError(BulrushleadError):
    """All the faults found in one file or call.

    Parameters
    ----------
    code : ResultCode
        Number of the error.
    source : str
        Name of the file or call that was validated.
    faults : sequence of Fault
        Every fault found, at least one.
    """

    def __init__(self, code: ResultCode, source: str, faults: list[Fault]):
        lines = "".join(f"\n  {fault}" for fault in faults)
        super().__init__(code, f"{source}: {len(faults)} fault(s){lines}")
        self.source = source
        self.faults = tuple(faults)
