"""Renders the result codes as the reference table."""

from bulrushlead.results._codes import CODES


def render_table() -> str:
    """Return the Markdown table of all result codes.

    Returns
    -------
    str
        One row per code: number, name, HTTP status, exit code, ran, meaning.
    """
    rows = [
        "| code | name | HTTP | exit | ran | meaning |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    rows += [
        f"| {code.value} | {code.name} | {info.http_status} | {info.exit_code} "
        f"| {info.ran.value} | {info.summary} |"
        for code, info in sorted(CODES.items())
    ]
    return "\n".join(rows) + "\n"
