"""Renders the reference of the declaration format from the model and its rules."""

import inspect
import re
from enum import Enum
from typing import Any

import attrs

from bulrushlead.declaration._rules import RULES, IntegerRule, NumberRule, describe
from bulrushlead.declaration._sections import SECTIONS

_PARAMETER_LINE = re.compile(r"^(\w+(?:, \w+)*) : ", re.MULTILINE)


def render_reference() -> str:
    """Return the Markdown tables of every section and key.

    Returns
    -------
    str
        One table per section with key, unit, default, allowed values and meaning.
    """
    return "\n".join(
        _render_section(section, item_type) for section, item_type in SECTIONS.items()
    )


def _render_section(section: str, item_type: type) -> str:
    meanings = _parse_meanings(item_type)
    lines = [
        f"## `{section}`",
        "",
        inspect.getdoc(item_type).split("\n", 1)[0],
        "",
        "| key | unit | default | allowed | meaning |",
        "| --- | --- | --- | --- | --- |",
    ]
    for field in attrs.fields(item_type):
        rule = RULES[item_type][field.name]
        unit = rule.unit if isinstance(rule, IntegerRule | NumberRule) else ""
        lines.append(
            f"| `{field.name}` | {unit} | {_format_default(field)} | {describe(rule)} "
            f"| {meanings[field.name]} |"
        )
    return "\n".join(lines) + "\n"


def _format_default(field: attrs.Attribute) -> str:
    value: Any = field.default
    if value is attrs.NOTHING:
        return "required"
    if value == "":
        return "empty"
    return f"`{value.value if isinstance(value, Enum) else value}`"


def _parse_meanings(item_type: type) -> dict[str, str]:
    """Return the meaning of each key, parsed from the class docstring."""
    text = inspect.getdoc(item_type)
    parts = _PARAMETER_LINE.split(text)[1:]
    meanings = {}
    for names, body in zip(parts[::2], parts[1::2], strict=True):
        sentence = " ".join(body.split("\n", 1)[1].split())
        meanings.update(dict.fromkeys(names.split(", "), sentence))
    return meanings
