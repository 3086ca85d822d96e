"""Loads settings files and reports all faults of a file in one error."""

import tomllib
import types
import typing
from pathlib import Path
from typing import Any, TypeVar

import attrs

from bulrushlead.results import BulrushleadError, Fault, FaultsError, ResultCode

T = TypeVar("T")


def load_settings(path: str, settings_type: type[T]) -> T:
    """Return the settings in a TOML file.

    Parameters
    ----------
    path : str
        Path of the file.
    settings_type : type
        attrs class whose fields are defined with ``setting``.

    Returns
    -------
    object
        Valid instance of ``settings_type``.

    Raises
    ------
    BulrushleadError
        ``SETTINGS_UNREADABLE`` if the file cannot be read or is not TOML.
    FaultsError
        ``SETTINGS_INVALID`` with every fault found.
    """
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise BulrushleadError(
            ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}"
        ) from error
    return parse_settings(text, settings_type, path)


def parse_settings(text: str, settings_type: type[T], source: str) -> T:
    """Return the settings in a TOML text; see ``load_settings``."""
    try:
        table = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise BulrushleadError(
            ResultCode.SETTINGS_UNREADABLE, f"{source}: not TOML: {error}"
        ) from error
    faults: list[Fault] = []
    settings = _build_settings(table, settings_type, "", faults)
    if faults:
        raise FaultsError(ResultCode.SETTINGS_INVALID, source, faults)
    return settings


def _build_settings(
    table: Any, settings_type: type[T], table_key: str, faults: list
) -> T | None:
    """Append the faults of a TOML table to ``faults`` and return its settings.

    The result is None if a value is missing or not allowed.
    """
    if not isinstance(table, dict):
        faults.append(Fault(table_key, repr(table), "a table"))
        return None
    hints = typing.get_type_hints(settings_type)
    fields = {field.name: field for field in attrs.fields(settings_type)}
    for key in table.keys() - fields.keys():
        allowed = "no such key; known: " + ", ".join(sorted(fields))
        faults.append(Fault(_join_keys(table_key, key), repr(table[key]), allowed))
    values = {}
    n_faults_before = len(faults)
    for name, field in fields.items():
        key = _join_keys(table_key, name)
        if name in table:
            values[name] = _parse_value(table[name], hints[name], field, key, faults)
        elif field.default is attrs.NOTHING:
            faults.append(Fault(key, "nothing", _describe_allowed(field, hints[name])))
    return settings_type(**values) if len(faults) == n_faults_before else None


def _parse_value(
    raw_value: Any, hint: Any, field: attrs.Attribute, key: str, faults: list
):
    """Return the value of a key, or append its faults to ``faults``."""
    if attrs.has(hint):
        return _build_settings(raw_value, hint, key, faults)
    value = _convert(raw_value, hint)
    constraint = field.metadata.get("constraint")
    if value is None or (constraint is not None and not constraint.accepts(value)):
        faults.append(Fault(key, repr(raw_value), _describe_allowed(field, hint)))
        return None
    return value


def _convert(raw_value: Any, hint: Any) -> Any:
    """Return a TOML value as the type of the hint, or None if it has another type."""
    if typing.get_origin(hint) is tuple:
        item_hint = typing.get_args(hint)[0]
        if not isinstance(raw_value, list):
            return None
        items = tuple(_convert(item, item_hint) for item in raw_value)
        return None if None in items else items
    if hint is float and isinstance(raw_value, int) and not isinstance(raw_value, bool):
        return float(raw_value)
    if isinstance(hint, types.UnionType) or not isinstance(hint, type):
        raise TypeError(f"settings fields cannot have the type {hint}")
    return raw_value if type(raw_value) is hint else None


def _describe_allowed(field: attrs.Attribute, hint: Any) -> str:
    constraint = field.metadata.get("constraint")
    if constraint is not None:
        return constraint.allowed
    return "a table" if attrs.has(hint) else f"a value of type {_type_name(hint)}"


def _type_name(hint: Any) -> str:
    if typing.get_origin(hint) is tuple:
        return f"list of {_type_name(typing.get_args(hint)[0])}"
    return {str: "text", int: "integer", float: "number", bool: "boolean"}[hint]


def _join_keys(table_key: str, key: str) -> str:
    return f"{table_key}.{key}" if table_key else key
