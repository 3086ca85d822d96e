"""Operators' declarations: hosts, services, limits, shifts and drains."""

from bulrushlead.declaration._difference import (
    Change,
    ChangeKind,
    Difference,
    FieldChange,
    diff,
)
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
from bulrushlead.declaration._reference import render_reference
from bulrushlead.declaration._risks import Risk, RiskKind, find_risks
from bulrushlead.declaration._sections import SECTIONS, identity, normalise
from bulrushlead.declaration._toml import (
    dump_declaration,
    load_declaration,
    parse_declaration,
)
from bulrushlead.declaration._validation import validate

__all__ = [
    "SECTIONS",
    "AvailabilityZone",
    "Change",
    "ChangeKind",
    "ClientBlock",
    "Declaration",
    "Difference",
    "Drain",
    "DrainTarget",
    "FieldChange",
    "Host",
    "HostRole",
    "Link",
    "Region",
    "RegionCapacity",
    "RequestClass",
    "Risk",
    "RiskKind",
    "Service",
    "Shift",
    "diff",
    "dump_declaration",
    "find_risks",
    "identity",
    "load_declaration",
    "normalise",
    "parse_declaration",
    "render_reference",
    "validate",
]
