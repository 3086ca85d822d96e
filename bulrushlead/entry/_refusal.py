"""Builds the HTTP answers to refused and failed requests."""

import math

from aiohttp import web

from bulrushlead.forwarding import ran_of
from bulrushlead.results import CODES, BulrushleadError, ResultCode

DEFAULT_RETRY_AFTER_MS = 1_000


def build_refusal(error: BulrushleadError) -> web.Response:
    """Return the HTTP answer for an error.

    Parameters
    ----------
    error : BulrushleadError
        The error; an attribute ``retry_after_ms`` replaces ``DEFAULT_RETRY_AFTER_MS``.

    Returns
    -------
    aiohttp.web.Response
        JSON with ``code``, ``name``, ``ran`` (as `ran_of` returns it),
        ``retry_after_ms`` and ``detail``.
    """
    info = CODES[error.code]
    retry_after_ms = getattr(error, "retry_after_ms", None)
    if retry_after_ms is None:
        retry_after_ms = DEFAULT_RETRY_AFTER_MS
    headers = {"Bulrushlead-Code": str(error.code.value)}
    if info.http_status in (429, 503):
        headers["Retry-After"] = str(max(1, math.ceil(retry_after_ms / 1000)))
    return web.json_response(
        {
            "code": error.code.value,
            "name": error.code.name,
            "ran": ran_of(error).value,
            "retry_after_ms": round(retry_after_ms),
            "detail": error.detail,
        },
        status=info.http_status,
        headers=headers,
    )


def build_internal_error(error: Exception) -> web.Response:
    """Return the HTTP answer for an unexpected exception."""
    return build_refusal(BulrushleadError(ResultCode.INTERNAL, type(error).__name__))
