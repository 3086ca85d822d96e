"""Renders the reference of declarations from the model and its rules."""

import inspect
import re
from enum import Enum
from typing import Any

import attrs

from bulrushlead.declaration._rules import RULES, IntegerRule, NumberRule, describe
from bulrushlead.declaration._sections import SECTIONS

_PARAMETER = re.compile(r"^(\w+(?:, \w+)*) : ", re.MULTILINE)


def render_reference() -> str:
    """Return the Markdown tables of every section and key.

    Returns
    -------
    str
        One table for each section: key, unit, default, allowed values, meaning.
    """
    return "\n".join(
        _render_section(section, item_type) for section, item_type in SECTIONS.items()
    )


def _render_section(section: str, item_type: type) -> str:
    meanings = _meanings(item_type)
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
            f"| `{field.name}` | {unit} | {_default(field)} | {describe(rule)} "
            f"| {meanings[field.name]} |"
        )
    return "\n".join(lines) + "\n"


def _default(field: attrs.Attribute) -> str:
    value: Any = field.default
    if value is attrs.NOTHING:
        return "required"
    if value == "":
        return "empty"
    return f"`{value.value if isinstance(value, Enum) else value}`"


def _meanings(item_type: type) -> dict[str, str]:
    """Return the meaning of each key from the docstring of the model."""
    text = inspect.getdoc(item_type)
    parts = _PARAMETER.split(text)[1:]
    meanings = {}
    for names, body in zip(parts[::2], parts[1::2], strict=True):
        sentence = " ".join(body.split("\n", 1)[1].split())
        meanings.update(dict.fromkeys(names.split(", "), sentence))
    return meanings
