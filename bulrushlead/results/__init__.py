"""Numbered result codes and the errors that carry them."""

from bulrushlead.results._codes import CODES, CodeInfo, Ran, ResultCode
from bulrushlead.results._errors import BulrushleadError, Fault, FaultsError
from bulrushlead.results._table import render_table

__all__ = [
    "CODES",
    "BulrushleadError",
    "CodeInfo",
    "Fault",
    "FaultsError",
    "Ran",
    "ResultCode",
    "render_table",
]
