"""Decodes the heartbeats and deregistrations of backend servers."""

import ipaddress
import json
import re
from typing import Any

from bulrushlead.fleet import Announcement, ServerState
from bulrushlead.platform._units import parse_duration_ms
from bulrushlead.results import BulrushleadError, ResultCode

# A heartbeat has some 300 bytes. Decoded, a document of 4 MiB takes over 100 MB.
MAX_BODY_BYTES = 64 * 1024
MAX_SLOTS = 100_000  # far more than one server runs; estimates divide by the slots
MAX_INTEGER = 2**63 - 1  # fits a signed 64-bit integer
MAX_COLD_MS = 24 * 3_600_000.0  # a longer warm-up is a mistake of the server
# Identities and services stand in header fields, messages and log lines.
_NAME = re.compile(r"[!-~]{1,200}")
_SERVER_STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING}


def decode_heartbeat(server_id: str, body: bytes, zones: set[str]) -> Announcement:
    """Decode the heartbeat of one backend server.

    Parameters
    ----------
    server_id : str
        Identity given in the call.
    body : bytes
        Body of the call, in JSON.
    zones : set of str
        Availability zones that exist.

    Raises
    ------
    BulrushleadError
        ``BAD_REQUEST`` if a field is missing, has another type or an invalid value.
    """
    try:
        return _build_announcement(server_id, _load(body), zones)
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise BulrushleadError(
            ResultCode.BAD_REQUEST, f"heartbeat of {server_id!r:.60}: {error!r:.200}"
        ) from error


def decode_born_ms(body: bytes) -> int | None:
    """Return the start time of the incarnation that deregisters.

    Returns
    -------
    int or None
        Milliseconds; None if the body does not contain it.
    """
    try:
        born_ms = _load(body).get("born") if body else None
    except (ValueError, AttributeError, RecursionError):
        return None
    return born_ms if _is_integer(born_ms) else None


def _load(body: bytes) -> Any:
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"{len(body)} bytes, at most {MAX_BODY_BYTES} allowed")
    return json.loads(body)


def _build_announcement(server_id: str, fields: Any, zones: set[str]) -> Announcement:
    if not isinstance(fields, dict) or not _NAME.fullmatch(server_id):
        raise ValueError("not an object with an identity")
    cold_left_ms = parse_duration_ms(fields["warmupLeft"])
    if cold_left_ms is None or cold_left_ms > MAX_COLD_MS:
        raise ValueError(f"warmupLeft is {fields['warmupLeft']!r}")
    host, _, port = _text(fields, "address").rpartition(":")
    ipaddress.IPv4Address(host)
    if not re.fullmatch(r"[0-9]{1,5}", port) or not 0 < int(port) < 65536:
        raise ValueError(f"address is {fields['address']!r}")
    if fields["zone"] not in zones:
        raise ValueError(f"zone is {fields['zone']!r}")
    if fields["state"] not in _SERVER_STATES:
        raise ValueError(f"state is {fields['state']!r}")
    slots = _integer(fields, "capacity")
    if not 1 <= slots <= MAX_SLOTS:
        raise ValueError(f"capacity is {slots}")
    return Announcement(
        server_id=server_id,
        born_ms=_integer(fields, "born", 0),
        sequence=_integer(fields, "sequence"),
        service=_text(fields, "service"),
        address=fields["address"],
        zone=fields["zone"],
        version=_label(fields, "version"),
        slots=slots,
        state=_SERVER_STATES[fields["state"]],
        cold_left_ms=cold_left_ms,
    )


def _text(fields: dict[str, Any], name: str) -> str:
    value = fields[name]
    if not isinstance(value, str) or not _NAME.fullmatch(value):
        raise ValueError(f"{name} is {value!r}")
    return value


def _label(fields: dict[str, Any], name: str) -> str:
    value = fields[name]
    if not isinstance(value, str) or not 0 < len(value) <= 200:
        raise ValueError(f"{name} is {value!r}")
    value.encode()  # JSON can hold characters that no message can
    return value


def _integer(fields: dict[str, Any], name: str, default: int | None = None) -> int:
    value = fields[name] if default is None else fields.get(name, default)
    if not _is_integer(value):
        raise ValueError(f"{name} is {value!r:.60}")
    return value


def _is_integer(value: Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_INTEGER
