"""Organisations in the users' configurations and settings."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushlead.clock import ManualClock
from bulrushlead.organisations import Access, OrganisationSettings, QuotaTable
from bulrushlead.platform._plans import decode_plan
from bulrushlead.platform._settings import KEY_LEASE_FRACTION, load_host_settings
from bulrushlead.platform.tests.samples import (
    SETTINGS,
    configuration,
    encode_json,
    resource,
)
from bulrushlead.platform.tests.test_hostile_input import ODD_VALUES
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.traffic import check_plan, key_digest
from bulrushlead.wire import codec

LABS = {
    "apiKeys": ["key-1", "key-2"],
    "priority": 3,
    "ratePerS": 4.5,
    "burst": 9,
    "allowedRegions": ["casa"],
}


def plan_with(*specs, **route_changes):
    document = configuration(**route_changes)
    document["resources"] += [
        resource("tenants", f"labs{number or ''}", spec)
        for number, spec in enumerate(specs)
    ]
    return decode_plan(encode_json(document))


def test_organisations_are_decoded():
    (labs,) = plan_with(LABS).organisations
    assert labs.name == "labs"
    assert labs.key_digests == (key_digest(b"key-1"), key_digest(b"key-2"))
    assert (labs.priority, labs.rate_per_s, labs.burst) == (3, 4.5, 9.0)
    assert labs.allowed_regions == ("casa",)


def test_left_out_fields_mean_no_limit():
    (labs,) = plan_with({"apiKeys": ["k"]}).organisations
    assert (labs.priority, labs.rate_per_s, labs.burst) == (None, 0.0, 0.0)
    check_plan(plan_with({"apiKeys": ["k"], "burst": 5}))


@pytest.mark.parametrize("public", [True, False])
def test_routes_may_be_public(public):
    assert plan_with(public=public).routes[0].public is public
    assert plan_with().routes[0].public is False


@pytest.mark.parametrize(
    "changes",
    [
        {"apiKeys": "key-1"},
        {"apiKeys": [""]},
        {"apiKeys": [" key"]},
        {"apiKeys": ["key\n"]},
        {"apiKeys": ["kéy"]},
        {"apiKeys": [7]},
        {"apiKeys": ["x" * 2_000]},
        {"ratePerS": "4"},
        {"ratePerS": True},
        {"priority": 1.5},
        {"allowedRegions": "casa"},
        {"allowedRegions": [1]},
    ],
)
def test_odd_values_are_errors(changes):
    with pytest.raises(BulrushleadError):
        plan_with({**LABS, **changes})


@pytest.mark.parametrize("public", ["yes", 1, None])
def test_public_is_true_or_false(public):
    with pytest.raises(BulrushleadError):
        plan_with(public=public)


@given(
    key=st.text(st.characters(codec="utf-8"), min_size=6).filter(
        lambda key: key.strip("\"'{}[],: ") == key
    ),
    rate=st.one_of(st.none(), st.text(max_size=3), st.floats(allow_nan=False)),
    region=st.one_of(st.none(), st.integers(), st.text(max_size=3)),
)
def test_no_error_shows_a_key(key, rate, region):
    """Guards against keys in logs, which record why a plan was rejected."""
    spec = {"apiKeys": [key], "ratePerS": rate, "allowedRegions": [region]}
    try:
        plan = plan_with(spec, {**spec, "ratePerS": 1})
        check_plan(plan, ["casa"])
    except BulrushleadError as error:
        assert key not in str(error)


@given(st.dictionaries(st.sampled_from(sorted(LABS)), ODD_VALUES))
def test_any_odd_organisation_is_an_error_or_reaches_the_hosts(changes):
    """Guards against a plan that is accepted and then stops the leader's updates."""
    try:
        plan = plan_with({**LABS, **changes})
        check_plan(plan, ["casa"])
    except BulrushleadError:
        return
    assert codec.decode(codec.encode(plan)) == plan
    table = QuotaTable(ManualClock(), OrganisationSettings())
    table.set_organisations(plan.organisations)
    table.check()


@given(st.lists(st.binary(max_size=12), max_size=3))
def test_any_key_field_identifies_at_most_one_organisation(values):
    access = Access(ManualClock(), OrganisationSettings())
    access.set_plan(plan_with(LABS))
    access.confirm(0.0)
    found = access.identify(values, False)
    assert found is ResultCode.UNKNOWN_KEY or values[0].strip() in (b"key-1", b"key-2")


def load(tmp_path, text):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS.replace("warmupSlack = 5", f"warmupSlack = 5\n{text}"))
    return load_host_settings(str(path)).for_organisations()


def test_settings_of_organisations(tmp_path):
    settings = load(
        tmp_path,
        'revokeStrict = true\nrevoke = "4s"\nquotaWindow = "2s"\n'
        "quotaOvershoot = 0.2\nquotaSlack = 7",
    )
    assert settings.key_lease_ms == KEY_LEASE_FRACTION * 4_000.0
    assert (settings.window_ms, settings.overshoot, settings.slack) == (2e3, 0.2, 7.0)


def test_without_strict_withdrawal_keys_have_no_lease(tmp_path):
    assert load(tmp_path, 'revoke = "4s"').key_lease_ms == math.inf


@pytest.mark.parametrize("name", ["quotaOvershoot", "quotaSlack"])
@pytest.mark.parametrize("value", ["-1", "nan", "inf"])
def test_tolerances_of_quotas_are_numbers_of_zero_or_more(tmp_path, name, value):
    with pytest.raises(BulrushleadError):
        load(tmp_path, f"{name} = {value}")


@pytest.mark.parametrize("window", ["0s", "-1s", "10ms"])
def test_a_window_of_quotas_has_a_length(tmp_path, window):
    """Guards against a division by zero in each request."""
    with pytest.raises(BulrushleadError):
        load(tmp_path, f'quotaWindow = "{window}"')
