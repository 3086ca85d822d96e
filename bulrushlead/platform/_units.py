"""Parses durations in the platform's notation."""

import math
from decimal import Decimal, DecimalException


def parse_duration_ms(text: object) -> float | None:
    """Parse a duration such as ``1500ms`` or ``2.5s``.

    Returns
    -------
    float or None
        Milliseconds; None if the text is not a finite duration of zero or more.
    """
    if not isinstance(text, str):
        return None
    if text.endswith("ms"):
        number, factor = text[:-2], 1
    elif text.endswith("s"):
        number, factor = text[:-1], 1000
    else:
        return None
    try:
        # In binary floats, 64.1 times 1,000 is less than 64,100.
        value = float(Decimal(number) * factor)
    except (DecimalException, ValueError):
        return None
    return value if math.isfinite(value) and value >= 0 else None
