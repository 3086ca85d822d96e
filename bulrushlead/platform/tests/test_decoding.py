"""Decoding of settings, heartbeats and configurations.

Input that is incomplete or of another type must raise an error: a value that is
accepted silently would reach the fleet as a server or a route that does not exist.
"""

from decimal import Decimal

import attrs
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from bulrushlead.fleet import ServerState
from bulrushlead.platform._heartbeats import decode_born_ms, decode_heartbeat
from bulrushlead.platform._plans import decode_plan
from bulrushlead.platform._settings import (
    FIXED_FIELDS,
    HostSettings,
    changed_fields,
    load_host_settings,
)
from bulrushlead.platform._units import parse_duration_ms
from bulrushlead.platform.tests.samples import (
    HEARTBEAT,
    SETTINGS,
    configuration,
    encode_json,
)
from bulrushlead.results import BulrushleadError, FaultsError
from bulrushlead.traffic import ServiceShare, check_plan

ZONES = {"casa-a", "fes-a"}


@pytest.mark.parametrize(
    ("text", "value_ms"),
    [("1500ms", 1_500.0), ("2.5s", 2_500.0), ("0ms", 0.0), ("-1s", None)]
    + [("64.1s", 64_100.0), ("1e2s", 100_000.0), ("0.0001s", 0.1)]
    + [(bad, None) for bad in ("", "5", "ms", "nans", "infs", "1m", 5, None)]
    + [(bad, None) for bad in ("snans", "1e400s", "1e99999999s", "1e9999999999s")],
)
def test_parses_durations(text, value_ms):
    assert parse_duration_ms(text) == value_ms


def test_loads_settings(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS)
    settings = load_host_settings(str(path))
    assert settings.peer_address == "10.1.0.10:7720"
    assert settings.seeds == ("10.1.0.12:7720", "10.2.0.42:7720")
    gateway = settings.for_gateway()
    assert gateway.dispatch.retry_slack == 62
    assert 5_000 < gateway.drain_ms < 6_000


@pytest.mark.parametrize("grace_s", (2, 4, 6, 10, 20))
def test_a_planned_stop_leaves_time_to_close_connections(tmp_path, grace_s):
    """Guards against a process that outlives its grace and is killed."""
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS.replace('grace = "6s"', f'grace = "{grace_s}s"'))
    drain_ms = load_host_settings(str(path)).for_gateway().drain_ms
    grace_ms = grace_s * 1_000
    assert drain_ms <= grace_ms - min(600, 0.15 * grace_ms)
    # What is broken off is at work in the last sixth of the grace.
    assert drain_ms > grace_ms * 5 / 6


def test_changed_fields_are_listed(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS)
    old = load_host_settings(str(path))
    path.write_text(
        SETTINGS.replace("10.2.0.42", "10.2.0.43").replace(
            "retryBudgetSlack = 62", "retryBudgetSlack = 40"
        )
    )
    new = load_host_settings(str(path))
    assert changed_fields(old, new) == ["seeds", "retry_slack"]
    assert changed_fields(new, new) == []
    assert {field.name for field in attrs.fields(HostSettings)} > FIXED_FIELDS


def test_every_invalid_setting_is_reported(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(
        SETTINGS.replace('heartbeat = "1500ms"', 'heartbeat = "soon"').replace(
            'zone = "casa-a"', "zone = 5"
        )
    )
    with pytest.raises(FaultsError) as caught:
        load_host_settings(str(path))
    assert {fault.key for fault in caught.value.faults} == {"heartbeat", "zone"}


def test_losses_that_the_platform_allows_set_the_size_of_the_quorum(tmp_path):
    """Guards against too few voters where several disks may be lost at once."""
    path = tmp_path / "boot.toml"
    for text, expected in (("", 1), ("[faultTolerance]\nmachines = 2\n", 2)):
        path.write_text(SETTINGS + text)
        settings = load_host_settings(str(path))
        assert settings.for_coordinator().tolerated_losses == expected


def test_missing_settings_file_raises(tmp_path):
    with pytest.raises(BulrushleadError, match="SETTINGS_UNREADABLE"):
        load_host_settings(str(tmp_path / "none.toml"))


def test_decodes_a_heartbeat():
    heartbeat = decode_heartbeat("i-1", encode_json(HEARTBEAT), ZONES)
    assert heartbeat.state is ServerState.READY
    assert (heartbeat.slots, heartbeat.cold_left_ms) == (4, 1_500.0)
    assert heartbeat.born_ms == 1_780_000_000_000


@pytest.mark.parametrize(
    "changes",
    [
        {"service": None},
        {"service": ""},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:http"},
        {"zone": "elsewhere"},
        {"zone": ["casa-a"]},
        {"capacity": "4"},
        {"capacity": 0},
        {"capacity": True},
        {"state": "sleeping"},
        {"state": {}},
        {"warmupLeft": 5},
        {"sequence": 1.5},
        {"born": "yesterday"},
        {"born": 1.5},
        {"version": 3},
    ],
)
def test_heartbeat_with_an_invalid_field_is_refused(changes):
    with pytest.raises(BulrushleadError):
        decode_heartbeat("i-1", encode_json({**HEARTBEAT, **changes}), ZONES)


@pytest.mark.parametrize("name", [n for n in HEARTBEAT if n != "born"])
def test_heartbeat_without_a_field_is_refused(name):
    fields = {key: value for key, value in HEARTBEAT.items() if key != name}
    with pytest.raises(BulrushleadError):
        decode_heartbeat("i-1", encode_json(fields), ZONES)


@pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"[]", b"null", b"[" * 100_000])
def test_unreadable_heartbeat_is_refused(body):
    with pytest.raises(BulrushleadError):
        decode_heartbeat("i-1", body, ZONES)


@pytest.mark.parametrize(
    ("body", "born_ms"),
    [(b"", None), (b"{}", None), (b'{"born":5}', 5), (b'{"born":"x"}', None)]
    + [(b"[1]", None), (b"\xff", None)],
)
def test_decodes_the_start_time_in_a_deregistration(body, born_ms):
    assert decode_born_ms(body) == born_ms


def test_decodes_a_configuration():
    plan = decode_plan(encode_json(configuration()))
    check_plan(plan)
    (route,) = plan.routes
    assert route.host == "ficu95.example"
    assert route.shares == (ServiceShare("huvo11a", 90), ServiceShare("wuno96b", 10))
    assert route.idempotent
    assert (route.timeout_ms, route.target_latency_ms) == (2_000.0, 300.0)
    assert plan.services[0].warmup_per_s == 7.4
    assert plan.limits.idle_timeout_ms == 15_000.0


def test_only_safe_routes_are_idempotent():
    for kind in ("unsafe", "keyed", "something new"):
        plan = decode_plan(encode_json(configuration(type=kind)))
        assert not plan.routes[0].idempotent


@pytest.mark.parametrize(
    "changes",
    [
        {"timeout": ...},
        {"timeout": "0ms"},
        {"timeout": 2000},
        {"pathPrefix": "lohu930/"},
        {"targetLatency": "62s"},
        {"backends": [{"service": "huvo11a"}]},
        {"backends": [{"service": "huvo11a", "weight": -1}]},
        {"backends": [{"service": "unknown", "weight": 1}]},
        {"backends": []},
        {"backends": ..., "service": "unknown"},
        {"backends": ...},
    ],
)
def test_an_invalid_configuration_is_refused(changes):
    with pytest.raises(BulrushleadError):
        check_plan(decode_plan(encode_json(configuration(**changes))))


MICROSECONDS_OF_A_MINUTE = 60_000_000


@example(timeout_us=1_024_054, over_us=MICROSECONDS_OF_A_MINUTE, units=("ms", "ms"))
@given(
    timeout_us=st.integers(1, 10**9),
    over_us=st.integers(MICROSECONDS_OF_A_MINUTE - 2, MICROSECONDS_OF_A_MINUTE + 2),
    units=st.tuples(st.sampled_from(("ms", "s")), st.sampled_from(("ms", "s"))),
)
def test_target_latency_a_minute_above_the_timeout_is_refused(
    timeout_us, over_us, units
):
    """Guards against accepting it by a rounding error, and against refusing less."""
    timeout, target = (
        f"{Decimal(value_us) / (1_000 if unit == 'ms' else 1_000_000):f}{unit}"
        for value_us, unit in zip(
            (timeout_us, timeout_us + over_us), units, strict=True
        )
    )
    plan = decode_plan(
        encode_json(configuration(timeout=timeout, targetLatency=target))
    )
    if over_us < MICROSECONDS_OF_A_MINUTE:
        check_plan(plan)
        return
    with pytest.raises(FaultsError, match="target_latency_ms"):
        check_plan(plan)


def test_a_truncated_configuration_is_refused():
    body = encode_json(configuration())
    for length in range(0, len(body), 37):
        with pytest.raises(BulrushleadError):
            decode_plan(body[:length])


@pytest.mark.parametrize("version", ["7", 7.5, True, None])
def test_a_version_that_is_no_integer_is_refused(version):
    with pytest.raises(BulrushleadError):
        decode_plan(encode_json(configuration(version=version)))
