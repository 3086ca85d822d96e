"""Guards against invalid declarations that are accepted, and faults left unreported."""

import math

import attrs
import pytest

from bulrushlead.declaration import (
    SECTIONS,
    AvailabilityZone,
    ClientBlock,
    Drain,
    DrainTarget,
    Host,
    HostRole,
    Link,
    Region,
    RegionCapacity,
    Service,
    Shift,
    validate,
)

HUGE_INTEGER = 10**400
SHIFT = Shift("second", "ordering", "fes", "agadir", 40.0, 50)

# Section, item added to the base declaration, expected fault keys.
FAULTS = [
    ("regions", Region("a b"), ["regions.a b.name"]),
    ("regions", Region(""), ["regions..name"]),
    ("regions", Region("é"), ["regions.é.name"]),
    ("regions", Region("a" * 64), [f"regions.{'a' * 64}.name"]),
    ("regions", Region("fes"), ["regions.fes"]),
    ("availability_zones", AvailabilityZone("z", "x"), ["availability_zones.z.region"]),
    ("hosts", Host("h", "x"), ["hosts.h.availability_zone"]),
    ("hosts", Host("h", "fes-a", "entry"), ["hosts.h.role"]),
    ("hosts", Host("h", "fes-a", address="fes:80"), ["hosts.h.address"]),
    ("hosts", Host("h", "fes-a", address="10.0.0.9:0"), ["hosts.h.address"]),
    ("hosts", Host("h", "fes-a", address="10.0.0.9:65536"), ["hosts.h.address"]),
    ("hosts", Host("h", "fes-a", address="10.0.0.1:80"), ["hosts.h.address"]),
    ("hosts", Host("h", "fes-a", capacity_rps=0), ["hosts.h.capacity_rps"]),
    ("services", Service("s", timeout_ms=0), ["services.s.timeout_ms"]),
    ("services", Service("s", timeout_ms=1.5), ["services.s.timeout_ms"]),
    ("services", Service("s", timeout_ms=True), ["services.s.timeout_ms"]),
    (
        "services",
        Service("s", max_duration_ms=HUGE_INTEGER),
        ["services.s.max_duration_ms"],
    ),
    ("services", Service("s", needed_slots=-1), ["services.s.needed_slots"]),
    (
        "services",
        Service("s", expected_answer_bytes=0),
        ["services.s.expected_answer_bytes"],
    ),
    (
        "region_capacities",
        RegionCapacity("x", "fes", 1),
        ["region_capacities.x@fes.service"],
    ),
    (
        "region_capacities",
        RegionCapacity("ordering", "x", -1),
        [
            "region_capacities.ordering@x.requests_per_s",
            "region_capacities.ordering@x.region",
        ],
    ),
    (
        "region_capacities",
        RegionCapacity("ordering", "casa", 7),
        ["region_capacities.ordering@casa"],
    ),
    ("links", Link("fes", "fes", 1), ["links.fes->fes.to_region"]),
    ("links", Link("fes", "x", 1), ["links.fes->x.to_region"]),
    ("links", Link("fes", "casa", 1), ["links.fes->casa"]),
    (
        "links",
        Link("x", "fes", 0, math.nan),
        [
            "links.x->fes.bytes_per_s",
            "links.x->fes.latency_ms",
            "links.x->fes.from_region",
        ],
    ),
    (
        "shifts",
        attrs.evolve(SHIFT, service="x", from_region="y", percent_cap=101.0),
        [
            "shifts.second.percent_cap",
            "shifts.second.service",
            "shifts.second.from_region",
            "shifts.second.to_region",
        ],
    ),
    (
        "shifts",
        attrs.evolve(SHIFT, percent_cap=-0.1, rate_cap_rps=-1),
        ["shifts.second.percent_cap", "shifts.second.rate_cap_rps"],
    ),
    (
        "shifts",
        attrs.evolve(SHIFT, percent_cap=math.inf),
        ["shifts.second.percent_cap", "shifts of ordering from fes"],
    ),
    (
        "shifts",
        attrs.evolve(SHIFT, step_percent=0.0, step_interval_ms=99),
        ["shifts.second.step_percent", "shifts.second.step_interval_ms"],
    ),
    (
        "shifts",
        attrs.evolve(SHIFT, to_region="fes", percent_cap=1.0),
        ["shifts.second.to_region"],
    ),
    (
        "shifts",
        attrs.evolve(SHIFT, percent_cap=40.5),
        ["shifts of ordering from fes"],
    ),
    (
        "shifts",
        attrs.evolve(SHIFT, to_region="casa"),
        ["shifts of ordering from fes"],
    ),
    (
        "shifts",
        attrs.evolve(SHIFT, from_region="casa", to_region="fes"),
        ["shifts of ordering"],
    ),
    ("drains", Drain("d", DrainTarget.REGION, "x"), ["drains.d.target_name"]),
    (
        "drains",
        Drain("d", DrainTarget.AVAILABILITY_ZONE, "fes"),
        ["drains.d.target_name"],
    ),
    ("drains", Drain("d", DrainTarget.HOST, "x"), ["drains.d.target_name"]),
    (
        "drains",
        Drain("d", DrainTarget.REGION, "fes", "tomorrow"),
        ["drains.d.start_at"],
    ),
    (
        "drains",
        Drain("d", DrainTarget.REGION, "fes", "2026-13-01T00:00:00Z"),
        ["drains.d.start_at"],
    ),
    (
        "client_blocks",
        ClientBlock("10.0.0.0", "fes"),
        ["client_blocks.10.0.0.0.prefix"],
    ),
    (
        "client_blocks",
        ClientBlock("10.0.0.1/8", "x"),
        ["client_blocks.10.0.0.1/8.prefix", "client_blocks.10.0.0.1/8.region"],
    ),
    (
        "client_blocks",
        ClientBlock("10.128.0.0/16", "fes"),
        ["client_blocks.10.128.0.0/16"],
    ),
]


def with_items(declaration, section, *items):
    return attrs.evolve(
        declaration, **{section: (*getattr(declaration, section), *items)}
    )


def test_base_is_valid(base):
    assert validate(base) == []


@pytest.mark.parametrize(("section", "item", "keys"), FAULTS)
def test_invalid_item_is_reported(base, section, item, keys):
    assert [fault.key for fault in validate(with_items(base, section, item))] == keys


def test_shifts_within_the_limits_are_valid(base):
    all_shifted = with_items(base, "shifts", SHIFT)
    other_service = attrs.evolve(
        SHIFT, service="delivery", from_region="casa", to_region="fes"
    )
    assert validate(all_shifted) == []
    assert validate(with_items(base, "shifts", other_service)) == []


def test_cycle_of_shifts_over_three_regions_is_reported(base):
    cyclic = with_items(
        base,
        "shifts",
        attrs.evolve(SHIFT, name="s2", from_region="casa", to_region="agadir"),
        attrs.evolve(SHIFT, name="s3", from_region="agadir", to_region="fes"),
    )
    (fault,) = validate(cyclic)
    assert fault.value == "a cycle through agadir, casa, fes"


def test_two_drains_of_one_target_are_reported(base):
    drains = [Drain(name, DrainTarget.REGION, "fes") for name in ("d1", "d2")]
    (fault,) = validate(with_items(base, "drains", *drains))
    assert fault.key == "drains of region fes"


def test_fault_cases_cover_every_section():
    assert {section for section, _, _ in FAULTS} == set(SECTIONS)


def test_faults_of_several_sections_are_all_reported(base):
    broken = with_items(base, "regions", Region("a b"))
    broken = with_items(broken, "hosts", Host("h", "x", HostRole.ENTRY))
    assert len(validate(broken)) == 2
