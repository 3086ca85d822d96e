import attrs
import pytest

from bulrushlead.fleet import ServerState
from bulrushlead.platform._heartbeats import decode_birth_ms, decode_heartbeat
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
    encoded,
)
from bulrushlead.results import BulrushleadError, FaultsError
from bulrushlead.traffic import ServiceShare, check_plan

ZONES = {"casa-a", "fes-a"}


@pytest.mark.parametrize(
    ("text", "value_ms"),
    [("1500ms", 1_500.0), ("2.5s", 2_500.0), ("0ms", 0.0), ("-1s", None)]
    + [(bad, None) for bad in ("", "5", "ms", "nans", "infs", "1m", 5, None)],
)
def test_times(text, value_ms):
    assert parse_duration_ms(text) == value_ms


def test_settings(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS)
    settings = load_host_settings(str(path))
    assert settings.peer_address == "10.1.0.10:7720"
    assert settings.seeds == ("10.1.0.12:7720", "10.2.0.42:7720")
    gateway = settings.for_gateway()
    assert gateway.dispatch.retry_slack == 62
    assert 5_000 < gateway.drain_ms < 6_000


def test_changed_settings_are_told_apart(tmp_path):
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


def test_settings_with_faults_name_each_one(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(
        SETTINGS.replace('heartbeat = "1500ms"', 'heartbeat = "soon"').replace(
            'zone = "casa-a"', "zone = 5"
        )
    )
    with pytest.raises(FaultsError) as caught:
        load_host_settings(str(path))
    assert {fault.key for fault in caught.value.faults} == {"heartbeat", "zone"}


def test_missing_settings_are_an_error(tmp_path):
    with pytest.raises(BulrushleadError, match="SETTINGS_UNREADABLE"):
        load_host_settings(str(tmp_path / "none.toml"))


def test_a_heartbeat():
    heartbeat = decode_heartbeat("i-1", encoded(HEARTBEAT), ZONES)
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
def test_a_heartbeat_of_another_writer_names_no_server(changes):
    with pytest.raises(BulrushleadError):
        decode_heartbeat("i-1", encoded({**HEARTBEAT, **changes}), ZONES)


@pytest.mark.parametrize("name", [n for n in HEARTBEAT if n != "born"])
def test_a_heartbeat_without_a_field(name):
    fields = {key: value for key, value in HEARTBEAT.items() if key != name}
    with pytest.raises(BulrushleadError):
        decode_heartbeat("i-1", encoded(fields), ZONES)


@pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"[]", b"null", b"[" * 100_000])
def test_a_heartbeat_that_cannot_be_read(body):
    with pytest.raises(BulrushleadError):
        decode_heartbeat("i-1", body, ZONES)


@pytest.mark.parametrize(
    ("body", "born_ms"),
    [(b"", None), (b"{}", None), (b'{"born":5}', 5), (b'{"born":"x"}', None)]
    + [(b"[1]", None), (b"\xff", None)],
)
def test_the_birth_in_a_sign_off(body, born_ms):
    assert decode_birth_ms(body) == born_ms


def test_a_configuration():
    plan = decode_plan(encoded(configuration()))
    check_plan(plan)
    (route,) = plan.routes
    assert route.host == "ficu95.example"
    assert route.shares == (ServiceShare("huvo11a", 90), ServiceShare("wuno96b", 10))
    assert route.idempotent
    assert (route.timeout_ms, route.target_latency_ms) == (2_000.0, 300.0)
    assert plan.services[0].warmup_per_s == 7.4
    assert plan.limits.idle_timeout_ms == 15_000.0


def test_only_safe_routes_may_be_repeated():
    for kind in ("unsafe", "keyed", "something new"):
        plan = decode_plan(encoded(configuration(type=kind)))
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
        check_plan(decode_plan(encoded(configuration(**changes))))


def test_a_configuration_that_ends_early_is_refused():
    body = encoded(configuration())
    for length in range(0, len(body), 37):
        with pytest.raises(BulrushleadError):
            decode_plan(body[:length])


@pytest.mark.parametrize("version", ["7", 7.5, True, None])
def test_a_version_is_a_whole_number(version):
    with pytest.raises(BulrushleadError):
        decode_plan(encoded(configuration(version=version)))
