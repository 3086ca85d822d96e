"""Loads a settings file and reports every fault in it at once."""

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
        Name of the file.
    settings_type : type
        attrs class whose fields were made by ``setting``.

    Returns
    -------
    object
        Instance of ``settings_type``.

    Raises
    ------
    BulrushleadError
        ``SETTINGS_UNREADABLE`` if the file is missing or not TOML.
    FaultsError
        ``SETTINGS_INVALID`` with every fault.
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
    except tomllib.TOMLDecodeError as error:
        raise BulrushleadError(
            ResultCode.SETTINGS_UNREADABLE, f"{source}: not TOML: {error}"
        ) from error
    faults: list[Fault] = []
    settings = _build(table, settings_type, "", faults)
    if faults:
        raise FaultsError(ResultCode.SETTINGS_INVALID, source, faults)
    return settings


def _build(table: Any, settings_type: type[T], path: str, faults: list) -> T | None:
    if not isinstance(table, dict):
        faults.append(Fault(path, repr(table), "a table"))
        return None
    hints = typing.get_type_hints(settings_type)
    fields = {field.name: field for field in attrs.fields(settings_type)}
    for key in table.keys() - fields.keys():
        allowed = "no such key; known: " + ", ".join(sorted(fields))
        faults.append(Fault(_join(path, key), repr(table[key]), allowed))
    values = {}
    count = len(faults)
    for name, field in fields.items():
        key = _join(path, name)
        if name in table:
            values[name] = _value(table[name], hints[name], field, key, faults)
        elif field.default is attrs.NOTHING:
            faults.append(Fault(key, "nothing", _allowed(field, hints[name])))
    return settings_type(**values) if len(faults) == count else None


def _value(found: Any, hint: Any, field: attrs.Attribute, key: str, faults: list):
    if attrs.has(hint):
        return _build(found, hint, key, faults)
    value = _convert(found, hint)
    constraint = field.metadata.get("constraint")
    if value is None or (constraint is not None and not constraint.accepts(value)):
        faults.append(Fault(key, repr(found), _allowed(field, hint)))
        return None
    return value


def _convert(found: Any, hint: Any) -> Any:
    if typing.get_origin(hint) is tuple:
        item_hint = typing.get_args(hint)[0]
        if not isinstance(found, list):
            return None
        items = tuple(_convert(item, item_hint) for item in found)
        return None if None in items else items
    if hint is float and isinstance(found, int) and not isinstance(found, bool):
        return float(found)
    if isinstance(hint, types.UnionType) or not isinstance(hint, type):
        raise TypeError(f"settings cannot hold {hint}")
    return found if type(found) is hint else None


def _allowed(field: attrs.Attribute, hint: Any) -> str:
    constraint = field.metadata.get("constraint")
    if constraint is not None:
        return constraint.allowed
    return "a table" if attrs.has(hint) else f"a value of type {_type_name(hint)}"


def _type_name(hint: Any) -> str:
    if typing.get_origin(hint) is tuple:
        return f"list of {_type_name(typing.get_args(hint)[0])}"
    return {str: "text", int: "integer", float: "number", bool: "boolean"}[hint]


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key
