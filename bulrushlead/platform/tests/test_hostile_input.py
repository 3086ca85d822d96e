"""Input that is malformed in ways that a type check misses.

One value that cannot be encoded, or that no arithmetic can use, would stop the leader
from sending any update, or a program from handling any request.
"""

import asyncio
import contextlib
import tomllib
import tracemalloc

import pytest
import tomli_w
from hypothesis import given
from hypothesis import strategies as st

from bulrushlead.clock import MonotonicClock
from bulrushlead.dispatch import DispatchSettings
from bulrushlead.http1 import Answer, HttpServer
from bulrushlead.platform import _control, _directory
from bulrushlead.platform._heartbeats import decode_born_ms, decode_heartbeat
from bulrushlead.platform._plans import decode_plan
from bulrushlead.platform._settings import load_host_settings
from bulrushlead.platform.tests.samples import (
    HEARTBEAT,
    SETTINGS,
    configuration,
    encode_json,
    resource,
)
from bulrushlead.results import BulrushleadError
from bulrushlead.traffic import RouteTable, check_plan
from bulrushlead.wire import codec

ZONES = {"casa-a", "fes-a"}
HUGE = 10**400
SURROGATE = "\ud800"
ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from([HUGE, -HUGE, 2**63, -1, 0, float("nan"), float("inf"), 1e308]),
    st.text(st.characters(codec=None), max_size=5),
    st.sampled_from(["1e308s", "nanms", "1ms\r\n", "a b", "10.0.0.1:80\r\nx: y"]),
    st.lists(st.just(1), max_size=2),
    st.dictionaries(st.text(max_size=2), st.none(), max_size=1),
)


@pytest.mark.parametrize(
    "changes",
    [
        {"capacity": HUGE},
        {"capacity": 10**7},
        {"born": HUGE},
        {"born": -1},
        {"sequence": HUGE},
        {"service": SURROGATE},
        {"service": "x" * 1_000},
        {"version": SURROGATE},
        {"address": "10.0.0.1:80\r\nx: y"},
        {"address": "not an address:80"},
        {"address": "name.example:80"},
        {"address": "10.0.0.1:" + "9" * 5_000},
        {"warmupLeft": "1e300s"},
    ],
)
def test_heartbeat_that_no_host_could_use_is_refused(changes):
    with pytest.raises(BulrushleadError):
        decode_heartbeat("i-1", encode_json({**HEARTBEAT, **changes}), ZONES)


@pytest.mark.parametrize("server_id", ["", "i\r\nx: y", "i 1", "\ud800", "x" * 1_000])
def test_identity_that_cannot_stand_in_a_header_is_refused(server_id):
    """Guards against fields that a heartbeat adds to requests of callers."""
    with pytest.raises(BulrushleadError):
        decode_heartbeat(server_id, encode_json(HEARTBEAT), ZONES)


@given(st.sampled_from(sorted(HEARTBEAT)), ODD_VALUES)
def test_any_heartbeat_is_refused_or_can_be_published(name, value):
    try:
        heartbeat = decode_heartbeat(
            "i-1", encode_json({**HEARTBEAT, name: value}), ZONES
        )
    except BulrushleadError:
        return
    assert codec.decode(codec.encode(heartbeat)) == heartbeat
    assert 0.5 / heartbeat.slots > 0


NESTED = [b"[" * 1_000_000, b'{"a":' * 200_000, b'{"address":' + b"[" * 1_000_000]


@pytest.mark.parametrize("body", NESTED, ids=("lists", "objects", "field"))
def test_deeply_nested_entries_are_refused(body):
    """Guards against one entry that ends each process that reads it."""
    with pytest.raises(BulrushleadError):
        decode_heartbeat("i-1", body, ZONES)
    with pytest.raises(BulrushleadError):
        decode_plan(body)
    assert decode_born_ms(body) is None


@pytest.mark.parametrize("data", (b"\x81" * 1_000_000, b"\xa1\x00" * 500_000))
def test_deeply_nested_messages_are_refused(data):
    """Guards against one message or stored record that ends each host that reads it."""
    with pytest.raises(BulrushleadError):
        codec.decode(data)


def test_deeply_nested_settings_are_refused_with_a_number(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS + "\nx = " + "[" * 100_000)
    with pytest.raises(BulrushleadError, match="SETTINGS_UNREADABLE"):
        load_host_settings(str(path))


@given(ODD_VALUES)
def test_any_start_time_in_a_deregistration_can_be_recorded(value):
    born_ms = decode_born_ms(encode_json({"born": value}))
    assert born_ms is None or 0 <= born_ms < 2**63


CONFIGURED = sorted(
    (position, name)
    for position, one in enumerate(configuration()["resources"])
    for name in one["spec"]
)


@given(st.sampled_from(CONFIGURED), ODD_VALUES)
def test_any_configuration_is_refused_or_can_be_put_in_force(field, value):
    position, name = field
    document = configuration()
    spec = dict(document["resources"][position]["spec"])
    spec[name] = value
    document["resources"][position]["spec"] = spec
    try:
        plan = decode_plan(encode_json(document))
        check_plan(plan)
    except BulrushleadError:
        return
    assert codec.decode(codec.encode(plan)) == plan
    RouteTable(plan).find(b"h", b"/")
    assert plan.limits.max_header_bytes > 0
    assert plan.limits.idle_timeout_ms > 0


@pytest.mark.parametrize(
    "limits",
    [
        {"maxHeaderBytes": 0},
        {"maxBodyBytes": -1},
        {"headerTimeout": "0ms"},
        {"idleTimeout": "0ms"},
    ],
)
def test_limits_that_refuse_every_request_are_invalid(limits):
    document = configuration()
    spec = {**document["resources"][3]["spec"], **limits}
    document["resources"][3] = resource("limits", "", spec)
    with pytest.raises(BulrushleadError):
        check_plan(decode_plan(encode_json(document)))


SETTINGS_TABLE = tomllib.loads(SETTINGS)
TOML_VALUES = st.one_of(
    st.booleans(),
    st.integers(-5, 5),
    st.sampled_from([2**62, -1.5, float("nan"), float("inf")]),
    st.text(st.characters(codec="utf-8", exclude_characters="\0"), max_size=5),
    st.lists(st.integers(0, 2), max_size=2),
    st.dictionaries(st.text("ab", min_size=1), st.integers(0, 2), max_size=1),
)
SETTINGS_PATHS = [(key,) for key in SETTINGS_TABLE] + [
    (table, key)
    for table in ("zones", "listen", "bounds")
    for key in SETTINGS_TABLE[table]
]


@given(st.sampled_from(SETTINGS_PATHS), TOML_VALUES)
def test_any_settings_are_used_or_refused_with_a_number(tmp_path_factory, path, value):
    """Guards against a process that ends, or stops reloading, without a reason."""
    table = {**SETTINGS_TABLE}
    if len(path) == 2:
        table[path[0]] = {**table[path[0]], path[1]: value}
    else:
        table[path[0]] = value
    file = tmp_path_factory.getbasetemp() / "boot.toml"
    file.write_text(tomli_w.dumps(table))
    try:
        settings = load_host_settings(str(file))
    except BulrushleadError:
        return
    assert isinstance(settings.for_gateway().dispatch, DispatchSettings)
    assert all(isinstance(seed, str) for seed in settings.seeds)
    assert all(isinstance(region, str) for region in settings.zone_regions.values())


@pytest.mark.parametrize("limits", [_control.LIMITS, _directory.LIMITS])
async def test_a_call_that_could_not_be_stored_is_refused_before_it_is_read(limits):
    """Guards against one document that ends coordinator after coordinator.

    Decoded, a document takes several times its size, and a call that gets no answer
    is sent to the next one.
    """
    handled = []

    async def record(request):
        handled.append(len(request.body))
        return Answer(200)

    server = HttpServer("127.0.0.1", 0, record, MonotonicClock(), limits)
    await server.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(b"POST / HTTP/1.1\r\ncontent-length: 9000000\r\n\r\n")
    writer.write(b" " * 4_500_000)
    assert (await reader.read(12)).endswith(b"413")
    writer.close()
    await server.close()
    assert handled == []


@pytest.mark.parametrize(
    "decode", [decode_born_ms, lambda body: decode_heartbeat("i-1", body, {"fes-a"})]
)
def test_a_document_is_no_heartbeat(decode):
    """Guards against heartbeats of 4 MiB that take over 100 MB each to decode."""
    body = b'{"born":5,"a":[' + b"{}," * 1_000_000 + b"{}]}"
    tracemalloc.start()
    try:
        with contextlib.suppress(BulrushleadError):
            assert decode(body) is None
        assert tracemalloc.get_traced_memory()[1] < 1_000_000
    finally:
        tracemalloc.stop()
