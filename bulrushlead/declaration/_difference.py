"""Computes the difference between two declarations."""

from enum import Enum

import attrs

from bulrushlead.declaration._model import Declaration
from bulrushlead.declaration._sections import SECTIONS, identity


class ChangeKind(Enum):
    """How an item differs between two declarations."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


_KIND_SIGNS = {ChangeKind.ADDED: "+", ChangeKind.REMOVED: "-", ChangeKind.CHANGED: "~"}


@attrs.frozen
class FieldChange:
    """A field whose value differs between two versions of an item.

    Parameters
    ----------
    field : str
        Name of the field.
    old, new : str
        Values as text; empty on the side where the item does not exist.
    """

    field: str
    old: str
    new: str

    def __str__(self) -> str:
        if not self.old:
            return f"{self.field}={self.new}"
        if not self.new:
            return f"{self.field}={self.old}"
        return f"{self.field}: {self.old} -> {self.new}"


@attrs.frozen
class Change:
    """An item that differs between two declarations.

    Parameters
    ----------
    kind : ChangeKind
        Whether the item was added, removed or changed.
    section : str
        Section of the declaration.
    item : str
        Identity of the item within the section.
    fields : tuple of FieldChange
        Fields that differ; for an added or removed item, every field.
    """

    kind: ChangeKind
    section: str
    item: str
    fields: tuple[FieldChange, ...] = ()

    def __str__(self) -> str:
        fields = ", ".join(str(field) for field in self.fields)
        return f"{_KIND_SIGNS[self.kind]} {self.section}.{self.item}: {fields}"


@attrs.frozen
class Difference:
    """The items that differ between two declarations.

    Parameters
    ----------
    changes : tuple of Change
        Changes in the order of the sections, then by item.
    """

    changes: tuple[Change, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.changes)

    def __str__(self) -> str:
        return "\n".join(str(change) for change in self.changes) or "no difference"


def diff(old: Declaration, new: Declaration) -> Difference:
    """Return the changes from ``old`` to ``new``.

    Parameters
    ----------
    old, new : Declaration
        Declarations to compare; the order of items in a section does not matter.

    Returns
    -------
    Difference
        Empty if both declarations have the same items.
    """
    changes: list[Change] = []
    for section in SECTIONS:
        old_items = {identity(item): item for item in getattr(old, section)}
        new_items = {identity(item): item for item in getattr(new, section)}
        for name in old_items.keys() | new_items.keys():
            change = _diff_item(section, name, old_items.get(name), new_items.get(name))
            if change is not None:
                changes.append(change)
    section_order = {section: position for position, section in enumerate(SECTIONS)}
    changes.sort(key=lambda change: (section_order[change.section], change.item))
    return Difference(tuple(changes))


def _diff_item(section: str, name: str, old: object, new: object) -> Change | None:
    if old == new:
        return None
    if old is None:
        kind = ChangeKind.ADDED
    elif new is None:
        kind = ChangeKind.REMOVED
    else:
        kind = ChangeKind.CHANGED
    fields = tuple(
        FieldChange(
            field.name, _format_field(old, field.name), _format_field(new, field.name)
        )
        for field in attrs.fields(type(old if new is None else new))
        if _format_field(old, field.name) != _format_field(new, field.name)
    )
    return Change(kind, section, name, fields)


def _format_field(item: object, name: str) -> str:
    if item is None:
        return ""
    value = getattr(item, name)
    return repr(value.value if isinstance(value, Enum) else value)
