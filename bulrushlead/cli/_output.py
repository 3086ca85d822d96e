"""Output of commands as aligned text or JSON."""

import json
from collections.abc import Sequence
from typing import Any

from bulrushlead.wire import codec


def print_json(value: Any) -> None:
    """Print attrs instances, or containers of them, as JSON."""
    print(json.dumps(codec.to_plain(value), default=_encode_fallback, indent=2))


def print_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows in aligned columns."""
    lines = [[str(cell) for cell in row] for row in [headings, *rows]]
    widths = [
        max(len(line[column]) for line in lines) for column in range(len(headings))
    ]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(cells).rstrip())


def _encode_fallback(value: Any) -> Any:
    if isinstance(value, bytes):
        return value.hex()
    return str(value)
