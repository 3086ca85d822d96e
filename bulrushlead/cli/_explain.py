"""Command that joins the log lines of several hosts into one story."""

import json
from collections.abc import Iterator
from pathlib import Path

import attrs

# Fields that every line has, and those that the heading shows already.
_HEADING_FIELDS = frozenset({"time", "level", "event", "name", "slice"})


@attrs.frozen
class _Line:
    source: str
    time: str
    number: int
    name: str
    fields: dict


def explain(request_id: str, *log_files: str) -> int:
    """Print every line about a request, and about the servers that it tried.

    Parameters
    ----------
    request_id : str
        Identifier of a request, or of a backend server: then every line about the
        server, requests that tried it included.
    log_files : str
        Files with the log lines of hosts.
    """
    lines = [line for name in log_files for line in _read(Path(name))]
    own = [line for line in lines if _mentions(line, request_id)]
    if not own:
        print(f"no line about {request_id} in {len(log_files)} file(s)")
        return 1
    asked_for_request = any(line.fields.get("request_id") == request_id for line in own)
    servers = {word for line in own for word in _servers(line) if asked_for_request}
    about_servers = [
        line
        for line in lines
        if line.fields.get("server_id") in servers and line not in own
    ]
    for line in sorted([*own, *about_servers], key=lambda one: one.time):
        _print(line)
    return 0


def _read(path: Path) -> Iterator[_Line]:
    with path.open(errors="replace") as file:
        for text in file:
            # A collector may put its own time or host name before the object.
            _, brace, rest = text.partition("{")
            try:
                fields = json.loads(brace + rest)
            except ValueError:
                continue  # not a line of ours
            if isinstance(fields, dict) and "event" in fields:
                yield _Line(
                    path.name,
                    str(fields.get("time", "")),
                    fields["event"],
                    str(fields.get("name", "")),
                    fields,
                )


def _mentions(line: _Line, identifier: str) -> bool:
    if identifier in (line.fields.get("request_id"), line.fields.get("server_id")):
        return True
    return identifier in _servers(line)


def _servers(line: _Line) -> set[str]:
    return {attempt.split()[0] for attempt in line.fields.get("attempts", ())}


def _print(line: _Line) -> None:
    print(f"{line.time} {line.source} {line.number} {line.name}")
    for name, value in line.fields.items():
        if name in _HEADING_FIELDS or value in ("", [], None):
            continue
        if isinstance(value, list):
            for entry in value:
                print(f"    {name}: {entry}")
        else:
            print(f"    {name}: {value}")
