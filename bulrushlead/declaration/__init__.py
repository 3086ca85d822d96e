"""What operators declare: places, services, limits, shifts and drains."""

from bulrushlead.declaration._model import (
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

__all__ = [
    "AvailabilityZone",
    "ClientBlock",
    "Declaration",
    "Drain",
    "DrainTarget",
    "Host",
    "HostRole",
    "Link",
    "Region",
    "RegionCapacity",
    "RequestClass",
    "Service",
    "Shift",
]
