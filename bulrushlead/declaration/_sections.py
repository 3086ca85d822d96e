"""The sections of a declaration and the identity of their items."""

from functools import singledispatch
from typing import Any

import attrs

from bulrushlead.declaration._model import (
    AvailabilityZone,
    ClientBlock,
    Declaration,
    Drain,
    Host,
    Link,
    Region,
    RegionCapacity,
    Service,
    Shift,
)

SECTIONS: dict[str, type] = {
    "regions": Region,
    "availability_zones": AvailabilityZone,
    "hosts": Host,
    "services": Service,
    "region_capacities": RegionCapacity,
    "links": Link,
    "shifts": Shift,
    "drains": Drain,
    "client_blocks": ClientBlock,
}


@singledispatch
def identity(item: Any) -> str:
    """Return the key that identifies an item within its section."""
    return item.name


@identity.register
def _(item: RegionCapacity) -> str:
    return f"{item.service}@{item.region}"


@identity.register
def _(item: Link) -> str:
    return f"{item.from_region}->{item.to_region}"


@identity.register
def _(item: ClientBlock) -> str:
    return item.prefix


def normalise(declaration: Declaration) -> Declaration:
    """Return the declaration with integers in float fields converted to float.

    Equal declarations must have the same encoding in every process.
    """
    changes = {
        section: tuple(_normalise_item(item) for item in getattr(declaration, section))
        for section in _SECTIONS_WITH_FLOATS
    }
    return attrs.evolve(declaration, **changes)


_SECTIONS_WITH_FLOATS = [
    section
    for section, item_type in SECTIONS.items()
    if any(field.type is float for field in attrs.fields(item_type))
]


def _normalise_item(item: Any) -> Any:
    changes = {
        field.name: float(getattr(item, field.name))
        for field in attrs.fields(type(item))
        if field.type is float and type(getattr(item, field.name)) is not float
    }
    return attrs.evolve(item, **changes) if changes else item
