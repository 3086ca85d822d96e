"""Generates the reference pages from the code.

Run from the repository's root: ``python docs/render_reference.py``.
"""

from pathlib import Path

import attrs

from bulrushlead.cli import COMMANDS
from bulrushlead.logs import render_catalogue
from bulrushlead.metrics import render_metrics
from bulrushlead.operators import operators_pb2
from bulrushlead.results import render_table
from bulrushlead.settings import ControlSettings, EntrySettings, render_reference

FOLDER = Path(__file__).parent / "reference"
SETTINGS_HEADINGS = "| key | default | allowed | meaning |\n| --- | --- | --- | --- |\n"


@attrs.frozen
class Page:
    """A reference page.

    Parameters
    ----------
    name : str
        File name.
    text : str
        Content.
    """

    name: str
    text: str


def build_pages() -> tuple[Page, ...]:
    """Return all reference pages, rendered from the current code."""
    return (
        Page("results.md", "# Result codes\n\n" + render_table()),
        Page("events.md", "# Log events\n\n" + render_catalogue()),
        Page("metrics.md", "# Metrics\n\n" + render_metrics()),
        Page("settings.md", _render_settings()),
        Page("rpcs.md", _render_rpcs()),
        Page("commands.md", _render_commands()),
    )


def _render_settings() -> str:
    return (
        "# Settings\n\nTOML, validated whole before anything starts; unknown keys are "
        "refused. `bulrushlead check FILE --kind control` (or `entry`) checks a file."
        "\n\n## Control host\n\n"
        + SETTINGS_HEADINGS
        + render_reference(ControlSettings)
        + "\n## Entry host\n\n"
        + SETTINGS_HEADINGS
        + render_reference(EntrySettings)
    )


def _render_rpcs() -> str:
    lines = [
        "# Operators' calls",
        "",
        "Schema: `bulrushlead/operators/operators.proto`.",
        "",
        "| call | request | answer |",
        "| --- | --- | --- |",
    ]
    for service in operators_pb2.DESCRIPTOR.services_by_name.values():
        for method in service.methods:
            stream = "stream of " if method.server_streaming else ""
            lines.append(
                f"| `{service.full_name}/{method.name}` | `{method.input_type.name}` "
                f"| {stream}`{method.output_type.name}` |"
            )
    return "\n".join(lines) + "\n"


def _render_commands() -> str:
    lines = ["# Commands", "", "| command | what it does |", "| --- | --- |"]
    lines += [
        f"| `bulrushlead {name}` | {function.__doc__.splitlines()[0]} |"
        for name, function in COMMANDS.items()
    ]
    return "\n".join(lines) + "\n"


def main() -> None:
    """Write all pages to ``FOLDER``."""
    FOLDER.mkdir(exist_ok=True)
    for page in build_pages():
        (FOLDER / page.name).write_text(page.text)


if __name__ == "__main__":
    main()
