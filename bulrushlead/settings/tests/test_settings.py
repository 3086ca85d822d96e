"""Guards against settings files that load with faults or fail without a code."""

import tomllib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushlead.results import BulrushleadError, FaultsError, ResultCode
from bulrushlead.settings import EntrySettings, load_settings, parse_settings

GOOD = """
name = "e1"
region = "fes"
availability_zone = "fes-a"
address = "127.0.0.1:8101"
control_addresses = ["127.0.0.1:7101"]
"""


def test_omitted_keys_have_their_defaults():
    settings = parse_settings(GOOD, EntrySettings, "entry.toml")
    assert settings.lookup_ttl_ms == 5_000
    assert settings.log.format == "human"


def test_every_fault_has_key_value_and_allowed_values():
    text = GOOD.replace('"127.0.0.1:8101"', '"localhost:8101"') + (
        'sync_interval_ms = 1\ncolour = "red"\n[log]\nformat = "xml"\n'
    )
    with pytest.raises(FaultsError) as caught:
        parse_settings(text, EntrySettings, "entry.toml")
    found = {fault.key: fault for fault in caught.value.faults}
    assert set(found) == {"address", "sync_interval_ms", "colour", "log.format"}
    assert found["sync_interval_ms"].value == "1"
    assert found["sync_interval_ms"].allowed == "a number from 50 to 10000"
    assert "no such key" in found["colour"].allowed


def test_missing_key_is_a_fault():
    with pytest.raises(FaultsError) as caught:
        parse_settings("", EntrySettings, "entry.toml")
    assert "control_addresses" in {fault.key for fault in caught.value.faults}


def test_missing_file_is_unreadable(tmp_path):
    with pytest.raises(BulrushleadError) as caught:
        load_settings(str(tmp_path / "none.toml"), EntrySettings)
    assert caught.value.code is ResultCode.SETTINGS_UNREADABLE


@given(st.text(max_size=200))
def test_any_text_loads_or_is_refused_with_a_number(text):
    try:
        parse_settings(text, EntrySettings, "entry.toml")
    except BulrushleadError as error:
        assert error.code in (
            ResultCode.SETTINGS_UNREADABLE,
            ResultCode.SETTINGS_INVALID,
        )


@given(
    st.sampled_from(["name", "address", "sync_interval_ms", "log", "peers"]),
    st.sampled_from(["1", "true", "[]", "[[]]", '"x"', "1.5", "{}", "1979-05-27"]),
)
def test_wrong_types_are_faults(key, value):
    text = "\n".join(line for line in GOOD.splitlines() if not line.startswith(key))
    try:
        settings = parse_settings(f"{key} = {value}\n{text}", EntrySettings, "e.toml")
    except FaultsError as error:
        assert key in {fault.key for fault in error.faults}
    else:
        assert (
            key == "log" or getattr(settings, key) == tomllib.loads(f"v={value}")["v"]
        )
