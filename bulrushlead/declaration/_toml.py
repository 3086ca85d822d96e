"""Reads and writes declarations as TOML."""

import tomllib
from collections.abc import Iterator
from enum import Enum
from functools import singledispatch
from pathlib import Path
from typing import Any

import attrs
import tomli_w
from returns.result import Failure, Result, Success

from bulrushlead.declaration._model import Declaration
from bulrushlead.declaration._rules import RULES, ChoiceRule, NumberRule, describe
from bulrushlead.declaration._sections import SECTIONS
from bulrushlead.declaration._validation import check_values, format_value, validate
from bulrushlead.results import BulrushleadError, Fault, FaultsError, ResultCode

MAX_FILE_BYTES = 16 * 1024 * 1024


def load_declaration(path: str | Path) -> Declaration:
    """Read a declaration from a TOML file and validate it as a whole.

    Parameters
    ----------
    path : str or Path
        Path of the file, in UTF-8.

    Returns
    -------
    Declaration
        A valid declaration.

    Raises
    ------
    BulrushleadError
        With ``DECLARATION_UNREADABLE`` if the file cannot be read or is not TOML.
    FaultsError
        With ``DECLARATION_INVALID`` and every fault found.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise _unreadable_error(path, f"{error.strerror}; check the path") from error
    if len(data) > MAX_FILE_BYTES:
        raise _unreadable_error(path, f"at most {MAX_FILE_BYTES} bytes are read")
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        raise _unreadable_error(path, f"not UTF-8 at byte {error.start}") from error
    return parse_declaration(text, str(path))


def parse_declaration(text: str, source: str) -> Declaration:
    """Read a declaration from TOML text and validate it as a whole.

    Parameters
    ----------
    text : str
        TOML text.
    source : str
        Name of the source in errors.

    Returns
    -------
    Declaration
        A valid declaration.

    Raises
    ------
    BulrushleadError
        With ``DECLARATION_UNREADABLE`` if the text is not TOML.
    FaultsError
        With ``DECLARATION_INVALID`` and every fault found. Constraints between
        items are checked only if no key is unknown or missing and every value has
        the right type.
    """
    try:
        document = tomllib.loads(text)
    except RecursionError as error:
        raise _unreadable_error(source, "values are nested too deeply") from error
    except ValueError as error:
        raise _unreadable_error(source, f"not TOML: {str(error)[:200]}") from error
    reader = _Reader()
    declaration = reader.read(document)
    faults = reader.faults
    faults += check_values(declaration) if faults else validate(declaration)
    if faults:
        raise FaultsError(ResultCode.DECLARATION_INVALID, source, faults)
    return declaration


def dump_declaration(declaration: Declaration) -> str:
    """Return a declaration as TOML; parsing the text yields an equal declaration.

    Parameters
    ----------
    declaration : Declaration
        Declaration to write.

    Returns
    -------
    str
        TOML text, without fields that have their default value.
    """
    document = {
        section: [_to_table(item) for item in getattr(declaration, section)]
        for section in SECTIONS
        if getattr(declaration, section)
    }
    return tomli_w.dumps(document)


def _to_table(item: Any) -> dict[str, Any]:
    return {
        field.name: _to_toml(getattr(item, field.name))
        for field in attrs.fields(type(item))
        if getattr(item, field.name) != field.default
    }


@singledispatch
def _to_toml(value: Any) -> Any:
    return value


@_to_toml.register
def _(value: Enum) -> str:
    return value.value


class _Reader:
    """Builds a declaration from a TOML document and collects the faults."""

    def __init__(self):
        self.faults: list[Fault] = []

    def read(self, document: dict[str, Any]) -> Declaration:
        for key in document.keys() - SECTIONS.keys():
            allowed = f"a section: {', '.join(SECTIONS)}"
            self._add_fault(key, document[key], allowed)
        return Declaration(
            **{
                section: tuple(self._read_section(section, document.get(section, [])))
                for section in SECTIONS
            }
        )

    def _read_section(self, section: str, tables: Any) -> Iterator[Any]:
        if not isinstance(tables, list):
            self._add_fault(section, tables, f"a list of tables [[{section}]]")
            return
        for index, table in enumerate(tables):
            item = self._read_item(f"{section}.{index}", SECTIONS[section], table)
            if item is not None:
                yield item

    def _read_item(self, key: str, item_type: type, table: Any) -> Any:
        if not isinstance(table, dict):
            self._add_fault(key, table, "a table")
            return None
        if isinstance(table.get("name"), str):
            key = f"{key.split('.', 1)[0]}.{table['name'][:80]}"
        fields = {field.name: field for field in attrs.fields(item_type)}
        n_faults_before = len(self.faults)
        for name in table.keys() - fields.keys():
            self._add_fault(f"{key}.{name}", table[name], f"a key: {', '.join(fields)}")
        values = {}
        for name, field in fields.items():
            if name in table:
                result = _read_value(field, RULES[item_type][name], table[name])
            elif field.default is attrs.NOTHING:
                result = Failure(f"a value; {describe(RULES[item_type][name])}")
            else:
                result = Success(field.default)
            match result:
                case Success(value):
                    values[name] = value
                case Failure(allowed):
                    self._add_fault(f"{key}.{name}", table.get(name), allowed)
        return item_type(**values) if len(self.faults) == n_faults_before else None

    def _add_fault(self, key: str, value: Any, allowed: str) -> None:
        found = "nothing" if value is None else format_value(value)
        self.faults.append(Fault(key[:200], found, allowed))


@singledispatch
def _convert(rule: Any, value: Any, value_type: type) -> Any:
    """Return a TOML value as the field's type, or None if it has another type."""
    is_bool = isinstance(value, bool)
    return value if isinstance(value, value_type) and not is_bool else None


@_convert.register
def _(rule: NumberRule, value: Any, value_type: type) -> float | None:
    if not isinstance(value, int | float) or isinstance(value, bool):
        return None
    try:
        return float(value)
    except OverflowError:
        return None


@_convert.register
def _(rule: ChoiceRule, value: Any, value_type: type) -> Enum | None:
    by_value = {choice.value: choice for choice in rule.choices}
    return by_value.get(value) if isinstance(value, str) else None


def _read_value(field: attrs.Attribute, rule: Any, value: Any) -> Result[Any, str]:
    converted = _convert(rule, value, field.type)
    return Failure(describe(rule)) if converted is None else Success(converted)


def _unreadable_error(source: str | Path, detail: str) -> BulrushleadError:
    return BulrushleadError(ResultCode.DECLARATION_UNREADABLE, f"{source}: {detail}")
