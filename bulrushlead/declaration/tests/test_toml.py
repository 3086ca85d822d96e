"""Guards against values lost in TOML and against input that fails without a code."""

import attrs
import pytest
import tomli_w
from hypothesis import given
from hypothesis import strategies as st

from bulrushlead.declaration import (
    SECTIONS,
    Declaration,
    dump_declaration,
    load_declaration,
    parse_declaration,
    validate,
)
from bulrushlead.declaration._rules import (
    RULES,
    AddressRule,
    ChoiceRule,
    IntegerRule,
    NumberRule,
    PrefixRule,
    TimeRule,
)
from bulrushlead.results import BulrushleadError, FaultsError, ResultCode
from bulrushlead.wire import codec

NAMES = st.sampled_from(["a", "b", "c-1", "d.2", "E_3"])


def values_of(rule) -> st.SearchStrategy:
    """Return a strategy for the values that a rule allows."""
    match rule:
        case IntegerRule(low, high, _):
            return st.integers(low, high)
        case NumberRule(low, high, _):
            return st.floats(low, high)
        case ChoiceRule(choices):
            return st.sampled_from(list(choices))
        case AddressRule():
            return st.sampled_from(["", "10.0.0.1:80", "[::1]:65535"])
        case PrefixRule():
            return st.ip_addresses().map(lambda ip: f"{ip}/{ip.max_prefixlen}")
        case TimeRule():
            return st.sampled_from(["", "2026-12-24T22:00:00Z"])
    return NAMES


def declarations() -> st.SearchStrategy[Declaration]:
    """Return a strategy for declarations that may break constraints between items."""
    return st.builds(
        Declaration,
        **{
            section: st.lists(
                st.builds(
                    item_type,
                    **{name: values_of(r) for name, r in RULES[item_type].items()},
                ),
                max_size=3,
            ).map(tuple)
            for section, item_type in SECTIONS.items()
        },
    )


@given(declarations())
def test_declaration_survives_toml_and_the_codec(declaration):
    text = dump_declaration(declaration)
    try:
        assert parse_declaration(text, "text") == declaration
    except FaultsError as error:
        assert list(error.faults) == validate(declaration)
    plain = codec.to_plain(declaration)
    assert codec.from_plain(plain, Declaration) == declaration


def test_valid_declaration_round_trips_through_toml(base):
    assert parse_declaration(dump_declaration(base), "text") == base


TOML_VALUES = st.recursive(
    st.one_of(
        st.booleans(),
        st.integers(-(2**70), 2**70),
        st.floats(),
        st.text(st.characters(exclude_categories=["Cs"]), max_size=20),
        st.datetimes(),
    ),
    lambda values: st.one_of(
        st.lists(values, max_size=3),
        st.dictionaries(
            st.sampled_from(["name", "region", "role", "latency_ms", "x"]),
            values,
            max_size=4,
        ),
    ),
    max_leaves=10,
)


@given(st.dictionaries(st.sampled_from([*SECTIONS, "other"]), TOML_VALUES))
def test_hostile_documents_are_read_or_refused_with_a_code(document):
    try:
        parse_declaration(tomli_w.dumps(document), "hostile")
    except FaultsError as error:
        assert error.code is ResultCode.DECLARATION_INVALID
        assert error.faults


@given(st.text(max_size=200))
def test_any_text_is_read_or_refused_with_a_code(text):
    try:
        parse_declaration(text, "hostile")
    except BulrushleadError as error:
        assert error.code in (
            ResultCode.DECLARATION_INVALID,
            ResultCode.DECLARATION_UNREADABLE,
        )


@pytest.mark.parametrize(
    "data", [b"\xff", b"a = ", b"a = " + b"[" * 100_000, b"a = 1" + b"0" * 5_000]
)
def test_error_names_the_unreadable_file(tmp_path, data):
    path = tmp_path / "declaration.toml"
    path.write_bytes(data)
    with pytest.raises(BulrushleadError) as caught:
        load_declaration(path)
    assert caught.value.code is ResultCode.DECLARATION_UNREADABLE
    assert str(path) in caught.value.detail


def test_missing_and_oversized_files_are_refused(tmp_path, monkeypatch):
    path = tmp_path / "declaration.toml"
    with pytest.raises(BulrushleadError, match="check the path"):
        load_declaration(path)
    monkeypatch.setattr("bulrushlead.declaration._toml.MAX_FILE_BYTES", 10)
    path.write_text("#" * 11)
    with pytest.raises(BulrushleadError, match="at most 10 bytes"):
        load_declaration(path)


def test_every_type_fault_has_key_value_and_allowed_values():
    text = """
    zones = []
    services = [
        { name = "a", timeout = 5, timeout_ms = "5", request_class = "fast" },
        { timeout_ms = 0 },
        7,
    ]
    regions = [{ name = "x y" }]
    links = 3
    """
    with pytest.raises(FaultsError) as caught:
        parse_declaration(text, "text")
    found = {fault.key: fault for fault in caught.value.faults}
    assert found.keys() == {
        "zones",
        "services.a.timeout",
        "services.a.timeout_ms",
        "services.a.request_class",
        "services.1.name",
        "services.2",
        "regions.x y.name",
        "links",
    }
    assert found["services.a.timeout_ms"].value == "'5'"
    assert found["services.a.request_class"].allowed == "`interactive`, `bulk`"
    assert found["services.1.name"].value == "nothing"


def test_integers_in_float_fields_become_floats(base):
    text = dump_declaration(base).replace("percent_cap = 60.0", "percent_cap = 60")
    shift = parse_declaration(text, "text").shifts[0]
    assert type(shift.percent_cap) is float
    assert attrs.asdict(shift) == attrs.asdict(base.shifts[0])
