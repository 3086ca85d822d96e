import pytest

from bulrushlead.declaration import (
    AvailabilityZone,
    ClientBlock,
    Declaration,
    Host,
    HostRole,
    Link,
    Region,
    RegionCapacity,
    RequestClass,
    Service,
    Shift,
)


@pytest.fixture
def base() -> Declaration:
    """Return a valid declaration with three regions and every section but drains."""
    region_names = ("casa", "fes", "agadir")
    return Declaration(
        regions=tuple(Region(name) for name in region_names),
        availability_zones=tuple(
            AvailabilityZone(f"{name}-{zone}", name)
            for name in region_names
            for zone in "ab"
        ),
        hosts=(
            Host("entry-1", "casa-a", HostRole.ENTRY, "10.0.0.1:80"),
            Host("entry-2", "fes-a", HostRole.ENTRY, "[2001:db8::1]:80"),
            *(Host(f"control-{n}", f"{n}-b", HostRole.CONTROL) for n in region_names),
        ),
        services=(
            Service("ordering", needed_slots=8),
            Service("delivery", RequestClass.BULK),
        ),
        region_capacities=(RegionCapacity("ordering", "casa", 100),),
        links=tuple(
            Link(a, b, 35_000_000, 35.0)
            for a in region_names
            for b in region_names
            if a != b
        ),
        shifts=(Shift("relief", "ordering", "fes", "casa", 60.0, 50),),
        client_blocks=(ClientBlock("10.128.0.0/16", "casa"),),
    )
