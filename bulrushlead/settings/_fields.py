"""Fields of settings classes and the constraints on their values."""

import ipaddress
from collections.abc import Callable
from typing import Any

import attrs

MAX_PORT = 65_535


@attrs.frozen
class Constraint:
    """An attrs validator with a description of the values that it allows.

    Parameters
    ----------
    allowed : str
        Description of the allowed values, as shown to operators.
    accepts : callable
        Function of the value that returns whether it is allowed.
    """

    allowed: str
    accepts: Callable[[Any], bool]

    def __call__(self, instance: object, attribute: attrs.Attribute, value: Any):
        """Raise ``ValueError`` if the value is not allowed."""
        if not self.accepts(value):
            raise ValueError(
                f"{attribute.name}={value!r} is not allowed; set {self.allowed}"
            )


def in_range(low: float, high: float) -> Constraint:
    """Return a constraint to numbers from ``low`` to ``high`` inclusive."""
    return Constraint(
        f"a number from {low} to {high}", lambda value: low <= value <= high
    )


def one_of(*values: str) -> Constraint:
    """Return a constraint to a fixed set of strings."""
    return Constraint("one of " + ", ".join(values), lambda value: value in values)


def not_blank() -> Constraint:
    """Return a constraint to strings that are not only whitespace."""
    return Constraint("a text that is not empty", lambda value: bool(value.strip()))


def address_of() -> Constraint:
    """Return a constraint to ``IP:port`` addresses."""
    return Constraint("IP:port, such as 127.0.0.1:7101", _is_address)


def non_empty(item_constraint: Constraint) -> Constraint:
    """Return a constraint to non-empty lists whose items meet a constraint."""
    return Constraint(
        f"a list of one or more, each {item_constraint.allowed}",
        lambda values: (
            bool(values) and all(item_constraint.accepts(value) for value in values)
        ),
    )


def setting(help_text: str, constraint: Constraint | None = None, **options: Any):
    """Return an attrs field with its help text and constraint.

    Parameters
    ----------
    help_text : str
        One sentence for the reference page.
    constraint : Constraint, optional
        Constraint on the value; any value of the field's type is allowed if None.
    **options : Any
        Further arguments of ``attrs.field``, such as ``default``.
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
