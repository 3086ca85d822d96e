"""Organisations in plans: what a plan may not contain."""

import attrs
import pytest

from bulrushlead.results import FaultsError
from bulrushlead.traffic import Organisation, TrafficPlan, check_plan, key_digest

KEY = key_digest(b"secret")
LABS = Organisation("labs", (KEY,), 1, 5.0, 10.0, ("north",))


def faults(*organisations, regions=("north", "south")):
    try:
        check_plan(TrafficPlan(1, organisations=organisations), regions)
    except FaultsError as error:
        return [fault.key for fault in error.faults]
    return []


def test_a_plan_with_organisations_is_valid():
    assert faults(LABS, Organisation("mills", (key_digest(b"other"),))) == []


def test_two_organisations_may_not_share_a_key():
    assert faults(LABS, Organisation("mills", (KEY,))) == ["organisations.mills.keys"]


def test_a_name_is_used_once():
    other = attrs.evolve(LABS, key_digests=())
    assert faults(LABS, other) == ["organisations.labs"]


@pytest.mark.parametrize("field", ["rate_per_s", "burst"])
@pytest.mark.parametrize("value", [-1.0, float("nan"), float("inf")])
def test_rates_and_bursts_are_numbers_of_zero_or_more(field, value):
    changed = attrs.evolve(LABS, **{field: value})
    assert faults(changed) == [f"organisations.labs.{field}"]


def test_regions_must_exist():
    changed = attrs.evolve(LABS, allowed_regions=("north", "nowhere"))
    assert faults(changed) == ["organisations.labs.allowed_regions"]


@pytest.mark.parametrize("name", ["a\r\nb: c", "a\0", "x" * 201])
def test_a_name_must_fit_into_a_header_field(name):
    assert len(faults(attrs.evolve(LABS, name=name))) == 1


def test_the_digest_does_not_show_the_key():
    assert b"secret" not in KEY
    assert key_digest(b"secret ") != KEY
