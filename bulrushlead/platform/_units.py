"""Times as the platform writes them."""

import math


def parse_duration_ms(text: object) -> float | None:
    """Return a time such as ``1500ms`` or ``2.5s`` in milliseconds, or None."""
    if not isinstance(text, str):
        return None
    if text.endswith("ms"):
        number, factor = text[:-2], 1.0
    elif text.endswith("s"):
        number, factor = text[:-1], 1000.0
    else:
        return None
    try:
        value = float(number) * factor
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None
