"""Rules for the values of each field of a declaration."""

import ipaddress
import math
import re
from datetime import datetime
from enum import Enum
from functools import singledispatch
from typing import Any

import attrs

from bulrushlead.declaration._model import (
    AvailabilityZone,
    ClientBlock,
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

MAX_NAME_LENGTH = 63
MAX_RATE_RPS = 10_000_000
MAX_DURATION_MS = 600_000
MAX_SLOTS = 1_000_000
MAX_ANSWER_BYTES = 1_073_741_824
MAX_LINK_BYTES_PER_S = 125_000_000_000  # 1 Tbit/s
MAX_LATENCY_MS = 10_000.0
MIN_STEP_PERCENT = 0.1
MIN_STEP_INTERVAL_MS = 100
MAX_STEP_INTERVAL_MS = 3_600_000

_NAME_PATTERN = re.compile(
    rf"[A-Za-z0-9][A-Za-z0-9._-]{{0,{MAX_NAME_LENGTH - 1}}}", re.ASCII
)
_TIME_PATTERN = re.compile(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ", re.ASCII)


@attrs.frozen
class NameRule:
    """A name: letters, digits, dots, hyphens and underscores."""


@attrs.frozen
class ReferenceRule:
    """The name of an item of another section.

    Parameters
    ----------
    section : str
        Section that contains the item.
    """

    section: str


@attrs.frozen
class IntegerRule:
    """An integer within inclusive bounds.

    Parameters
    ----------
    low, high : int
        Bounds.
    unit : str
        Unit of the number.
    """

    low: int
    high: int
    unit: str


@attrs.frozen
class NumberRule:
    """A finite number within inclusive bounds.

    Parameters
    ----------
    low, high : float
        Bounds.
    unit : str
        Unit of the number.
    """

    low: float
    high: float
    unit: str


@attrs.frozen
class ChoiceRule:
    """One value of an enumeration.

    Parameters
    ----------
    choices : type of Enum
        The enumeration.
    """

    choices: type[Enum]


@attrs.frozen
class AddressRule:
    """An IP address with a port, or empty."""


@attrs.frozen
class PrefixRule:
    """A block of IP addresses without host bits."""


@attrs.frozen
class TimeRule:
    """A time in UTC, or empty."""


Rule = (
    NameRule
    | ReferenceRule
    | IntegerRule
    | NumberRule
    | ChoiceRule
    | AddressRule
    | PrefixRule
    | TimeRule
)

_NAME = NameRule()
_REGION = ReferenceRule("regions")
_SERVICE = ReferenceRule("services")
_RATE_RPS = IntegerRule(0, MAX_RATE_RPS, "requests/s")
_DURATION_MS = IntegerRule(1, MAX_DURATION_MS, "ms")

RULES: dict[type, dict[str, Rule]] = {
    Region: {"name": _NAME},
    AvailabilityZone: {"name": _NAME, "region": _REGION},
    Host: {
        "name": _NAME,
        "availability_zone": ReferenceRule("availability_zones"),
        "role": ChoiceRule(HostRole),
        "address": AddressRule(),
        "capacity_rps": IntegerRule(1, MAX_RATE_RPS, "requests/s"),
    },
    Service: {
        "name": _NAME,
        "request_class": ChoiceRule(RequestClass),
        "timeout_ms": _DURATION_MS,
        "max_duration_ms": _DURATION_MS,
        "needed_slots": IntegerRule(0, MAX_SLOTS, "slots"),
        "expected_answer_bytes": IntegerRule(1, MAX_ANSWER_BYTES, "bytes"),
    },
    RegionCapacity: {
        "service": _SERVICE,
        "region": _REGION,
        "requests_per_s": _RATE_RPS,
    },
    Link: {
        "from_region": _REGION,
        "to_region": _REGION,
        "bytes_per_s": IntegerRule(1, MAX_LINK_BYTES_PER_S, "bytes/s"),
        "latency_ms": NumberRule(0.0, MAX_LATENCY_MS, "ms"),
    },
    Shift: {
        "name": _NAME,
        "service": _SERVICE,
        "from_region": _REGION,
        "to_region": _REGION,
        "percent_cap": NumberRule(0.0, 100.0, "percent"),
        "rate_cap_rps": _RATE_RPS,
        "step_percent": NumberRule(MIN_STEP_PERCENT, 100.0, "percent"),
        "step_interval_ms": IntegerRule(
            MIN_STEP_INTERVAL_MS, MAX_STEP_INTERVAL_MS, "ms"
        ),
    },
    Drain: {
        "name": _NAME,
        "target": ChoiceRule(DrainTarget),
        "target_name": _NAME,
        "start_at": TimeRule(),
    },
    ClientBlock: {"prefix": PrefixRule(), "region": _REGION},
}


@singledispatch
def describe(rule: Rule) -> str:
    """Return a description of the allowed values for errors and the docs."""
    raise TypeError(f"no description of {type(rule).__name__}")


@describe.register
def _(rule: NameRule) -> str:
    return (
        f"1 to {MAX_NAME_LENGTH} letters, digits, `.`, `-` or `_`, "
        "first a letter or digit"
    )


@describe.register
def _(rule: ReferenceRule) -> str:
    return f"a name in `{rule.section}`"


@describe.register
def _(rule: IntegerRule) -> str:
    return f"a whole number from {rule.low} to {rule.high}"


@describe.register
def _(rule: NumberRule) -> str:
    return f"a number from {rule.low:g} to {rule.high:g}"


@describe.register
def _(rule: ChoiceRule) -> str:
    return ", ".join(f"`{choice.value}`" for choice in rule.choices)


@describe.register
def _(rule: AddressRule) -> str:
    return "empty, or `IP:port` with port 1 to 65535"


@describe.register
def _(rule: PrefixRule) -> str:
    return "an IPv4 or IPv6 block without host bits, such as `10.2.0.0/16`"


@describe.register
def _(rule: TimeRule) -> str:
    return "empty, or a UTC time such as `2026-12-24T22:00:00Z`"


@singledispatch
def accepts(rule: Rule, value: Any) -> bool:
    """Return whether a rule allows ``value``; references are not resolved."""
    raise TypeError(f"no check of {type(rule).__name__}")


@accepts.register(NameRule)
@accepts.register(ReferenceRule)
def _(rule, value: Any) -> bool:
    return isinstance(value, str) and _NAME_PATTERN.fullmatch(value) is not None


@accepts.register
def _(rule: IntegerRule, value: Any) -> bool:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    return is_integer and rule.low <= value <= rule.high


@accepts.register
def _(rule: NumberRule, value: Any) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    # The bounds are checked first, since isfinite raises OverflowError for integers
    # beyond the range of floats. NaN is not within any bounds.
    return is_number and rule.low <= value <= rule.high and math.isfinite(value)


@accepts.register
def _(rule: ChoiceRule, value: Any) -> bool:
    return isinstance(value, rule.choices)


@accepts.register
def _(rule: AddressRule, value: Any) -> bool:
    if not isinstance(value, str):
        return False
    return value == "" or _is_address(value)


@accepts.register
def _(rule: PrefixRule, value: Any) -> bool:
    if not isinstance(value, str):
        return False
    try:
        # Only the canonical form is allowed, so that equal blocks are equal strings.
        return str(ipaddress.ip_network(value)) == value
    except ValueError:
        return False


@accepts.register
def _(rule: TimeRule, value: Any) -> bool:
    if not isinstance(value, str):
        return False
    if value == "":
        return True
    if _TIME_PATTERN.fullmatch(value) is None:
        return False
    try:
        datetime.fromisoformat(value)
    except ValueError:
        return False
    return True


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    # Only six digits are converted, since int() raises ValueError above 4300 digits.
    return port.isascii() and port.isdigit() and 1 <= int(port[:6]) <= 65_535
