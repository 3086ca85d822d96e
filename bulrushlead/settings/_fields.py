"""Declared constraints of settings: each knows in words what it allows."""

import ipaddress
from collections.abc import Callable
from typing import Any

import attrs

MAX_PORT = 65_535


@attrs.frozen
class Constraint:
    """A check of one value, with the words for what it allows.

    Parameters
    ----------
    allowed : str
        What is allowed, as shown to operators.
    accepts : callable
        Takes the value, returns whether it is allowed.
    """

    allowed: str
    accepts: Callable[[Any], bool]

    def __call__(self, instance: object, attribute: attrs.Attribute, value: Any):
        """Raise ``ValueError`` if the value is not allowed (an attrs validator)."""
        if not self.accepts(value):
            raise ValueError(
                f"{attribute.name}={value!r} is not allowed; set {self.allowed}"
            )


def in_range(low: float, high: float) -> Constraint:
    """Return a constraint to numbers from ``low`` to ``high``, both included."""
    return Constraint(f"a number from {low} to {high}", lambda v: low <= v <= high)


def one_of(*values: str) -> Constraint:
    """Return a constraint to a fixed set of words."""
    return Constraint("one of " + ", ".join(values), lambda v: v in values)


def not_blank() -> Constraint:
    """Return a constraint to text that is not empty."""
    return Constraint("a text that is not empty", lambda v: bool(v.strip()))


def address_of() -> Constraint:
    """Return a constraint to ``IP:port`` texts."""
    return Constraint("IP:port, such as 127.0.0.1:7101", _is_address)


def non_empty(each: Constraint) -> Constraint:
    """Return a constraint to a list with at least one value, each allowed."""
    return Constraint(
        f"a list of one or more, each {each.allowed}",
        lambda values: bool(values) and all(each.accepts(v) for v in values),
    )


def setting(help_text: str, constraint: Constraint | None = None, **options: Any):
    """Return an attrs field with its help text and constraint.

    Parameters
    ----------
    help_text : str
        One sentence for the reference page.
    constraint : Constraint, optional
        What the value must satisfy.
    **options : Any
        Passed on to ``attrs.field``, such as ``default``.
    """
    return attrs.field(
        validator=constraint,
        metadata={"help": help_text, "constraint": constraint},
        **options,
    )


def _is_address(value: str) -> bool:
    host, separator, port = value.rpartition(":")
    if not separator or not port.isdigit() or int(port) > MAX_PORT:
        return False
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return True
