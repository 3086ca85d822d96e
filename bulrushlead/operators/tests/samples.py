"""Declarations for the tests of operators' calls."""

import attrs

from bulrushlead.backend import BackendServer
from bulrushlead.declaration import (
    AvailabilityZone,
    ClientBlock,
    Declaration,
    Drain,
    DrainTarget,
    Host,
    HostRole,
    Link,
    Region,
    RegionCapacity,
    RequestClass,
    Service,
    Shift,
)

BASE = Declaration(
    regions=(Region("fes"), Region("casa")),
    availability_zones=(
        AvailabilityZone("fes-a", "fes"),
        AvailabilityZone("casa-a", "casa"),
    ),
    hosts=(
        Host("entry-1", "fes-a", HostRole.ENTRY, "10.0.0.1:80"),
        Host("control-1", "casa-a", HostRole.CONTROL),
    ),
    services=(Service("stock", RequestClass.BULK, needed_slots=4),),
    region_capacities=(RegionCapacity("stock", "fes", 500),),
    links=(
        Link("fes", "casa", 35_000_000, 35.0),
        Link("casa", "fes", 35_000_000, 35.0),
    ),
    shifts=(Shift("relief", "stock", "fes", "casa", 10.0, 50),),
    client_blocks=(ClientBlock("10.2.0.0/16", "fes"),),
)

DRAIN_OF_FES = Drain("work", DrainTarget.REGION, "fes", "2026-12-24T22:00:00Z")


def with_percent_cap(percent: float) -> Declaration:
    """Return the base declaration with another ``percent_cap`` of its shift."""
    shift = attrs.evolve(BASE.shifts[0], percent_cap=percent)
    return attrs.evolve(BASE, shifts=(shift,))


def make_server(name: str, region: str, slots: int = 4, draining: bool = False):
    """Return a backend server of the stock service."""
    return BackendServer(
        name,
        "stock",
        region,
        f"{region}-a",
        "10.1.0.1:80",
        "1",
        slots,
        390,
        draining,
    )
