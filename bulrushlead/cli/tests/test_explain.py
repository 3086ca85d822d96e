"""Tests of the explain command on log files with noise and collector prefixes.

The cause of a failed request is often logged only in the lines about the servers that
it tried. These lines must be found, even if a log collector added a prefix to them.
"""

import json

import pytest

from bulrushlead.cli._explain import explain

LINES = [
    {
        "time": "2026-01-01T00:00:02",
        "event": 215,
        "name": "REQUEST_FAILED",
        "request_id": "r1",
        "status": 502,
        "attempts": ["s7 rank=0 load=1.0 took=12 lost closed"],
    },
    {
        "time": "2026-01-01T00:00:01",
        "event": 601,
        "name": "BACKEND_LEAVING",
        "server_id": "s7",
    },
    {"time": "2026-01-01T00:00:03", "event": 212, "request_id": "r2"},
]


@pytest.fixture
def log_files(tmp_path):
    entry, core = tmp_path / "edge.log", tmp_path / "core.log"
    entry.write_text(f"{json.dumps(LINES[0])}\nnoise\n{json.dumps(LINES[2])}\n")
    core.write_text(f"  1.25 core-1 {json.dumps(LINES[1])}\n")
    return [str(entry), str(core)]


def test_explain_request_includes_attempted_servers(log_files, capsys):
    assert explain("r1", *log_files) == 0
    text = capsys.readouterr().out
    assert text.index("BACKEND_LEAVING") < text.index("REQUEST_FAILED")
    assert "core.log" in text
    assert "s7 rank=0 load=1.0 took=12 lost closed" in text
    assert "r2" not in text


def test_explain_server_includes_requests_that_tried_it(log_files, capsys):
    assert explain("s7", *log_files) == 0
    text = capsys.readouterr().out
    assert "BACKEND_LEAVING" in text
    assert "request_id: r1" in text


def test_unknown_identifier_is_an_error(log_files, capsys):
    assert explain("r9", *log_files) == 1
    assert "no line about r9" in capsys.readouterr().out


def test_explain_fingerprint_includes_crashes_and_refusals(tmp_path, capsys):
    """Guards against a refusal that leads to no server that ended."""
    lines = [
        {"time": "1", "event": 630, "name": "REQUEST_SUSPECTED", "fingerprint": "f0"},
        {
            "time": "2",
            "event": 211,
            "name": "REQUEST_REFUSED",
            "request_id": "r4",
            "refusal": "3211 REQUEST_QUARANTINED: 3 servers have ended under request "
            "f0; retry after 57186 ms",
        },
        {"time": "3", "event": 630, "name": "REQUEST_SUSPECTED", "fingerprint": "f1"},
    ]
    log = tmp_path / "edge.log"
    log.write_text("\n".join(json.dumps(line) for line in lines))
    assert explain("f0", str(log)) == 0
    text = capsys.readouterr().out
    assert "REQUEST_SUSPECTED" in text
    assert "request_id: r4" in text
    assert "f1" not in text
