"""Command that merges the log lines of several hosts about one request or server."""

import json
from collections.abc import Iterator
from pathlib import Path

import attrs

# Fields that are printed in the heading or left out because every line has them.
_HEADING_FIELDS = frozenset({"time", "level", "event", "name", "slice"})

_IDENTIFIERS = ("request_id", "server_id", "fingerprint")


@attrs.frozen
class _Line:
    source: str
    time: str
    event: int
    name: str
    fields: dict


def explain(request_id: str, *log_files: str) -> int:
    """Print the log lines about a request and the servers that it tried.

    Parameters
    ----------
    request_id : str
        Identifier of a request, or of a backend server, or fingerprint of a request
        under which servers ended. For a server, the lines of requests that tried it
        are printed too.
    log_files : str
        Log files of hosts, in JSON format.
    """
    lines = [line for name in log_files for line in _read_lines(Path(name))]
    matching = [line for line in lines if _mentions(line, request_id)]
    if not matching:
        print(f"no line about {request_id} in {len(log_files)} file(s)")
        return 1
    is_request_id = any(
        line.fields.get("request_id") == request_id for line in matching
    )
    servers = {
        server
        for line in matching
        for server in _attempted_servers(line)
        if is_request_id
    }
    server_lines = [
        line
        for line in lines
        if line.fields.get("server_id") in servers and line not in matching
    ]
    for line in sorted([*matching, *server_lines], key=lambda line: line.time):
        _print_line(line)
    return 0


def _read_lines(path: Path) -> Iterator[_Line]:
    with path.open(errors="replace") as file:
        for text in file:
            # Log collectors may put a timestamp or host name before the JSON object.
            _, brace, rest = text.partition("{")
            try:
                fields = json.loads(brace + rest)
            except ValueError:
                continue  # not a JSON log line
            if isinstance(fields, dict) and "event" in fields:
                yield _Line(
                    path.name,
                    str(fields.get("time", "")),
                    fields["event"],
                    str(fields.get("name", "")),
                    fields,
                )


def _mentions(line: _Line, identifier: str) -> bool:
    if identifier in (line.fields.get(name) for name in _IDENTIFIERS):
        return True
    if identifier in line.fields.get("refusal", "").replace(";", " ").split():
        return True  # a refused request names its fingerprint there
    return identifier in _attempted_servers(line)


def _attempted_servers(line: _Line) -> set[str]:
    return {attempt.split()[0] for attempt in line.fields.get("attempts", ())}


def _print_line(line: _Line) -> None:
    print(f"{line.time} {line.source} {line.event} {line.name}")
    for name, value in line.fields.items():
        if name in _HEADING_FIELDS or value in ("", [], None):
            continue
        if isinstance(value, list):
            for entry in value:
                print(f"    {name}: {entry}")
        else:
            print(f"    {name}: {value}")
