"""Builds and applies updates between two revisions of a configuration."""

from collections.abc import Iterable
from typing import Any

import attrs

from bulrushlead.declaration import Declaration, identity
from bulrushlead.distribution._messages import ConfigurationUpdate, ItemKey
from bulrushlead.results import BulrushleadError, ResultCode


def item_key(section: str, item: Any) -> ItemKey:
    """Return the key of a declared item."""
    return ItemKey(section, identity(item))


def build_update(
    old: Declaration, old_revision: int, new: Declaration, new_revision: int
) -> ConfigurationUpdate:
    """Return the update from one revision to another.

    Parameters
    ----------
    old, new : Declaration
        Configurations before and after the update.
    old_revision, new_revision : int
        Their revisions; if ``old_revision`` is 0 the update is a full one.

    Returns
    -------
    ConfigurationUpdate
        Only the items that differ, or all of them for a full update.
    """
    if old_revision == 0:
        return ConfigurationUpdate(new_revision, 0, new)
    changed, removed = {}, []
    for section in _sections():
        before = _by_key(section, getattr(old, section))
        after = _by_key(section, getattr(new, section))
        changed[section] = tuple(
            item for key, item in after.items() if before.get(key) != item
        )
        removed += [key for key in before if key not in after]
    return ConfigurationUpdate(
        new_revision, old_revision, Declaration(**changed), tuple(removed)
    )


def apply_update(
    declaration: Declaration, revision: int, update: ConfigurationUpdate
) -> Declaration:
    """Return the configuration after an update.

    Raises
    ------
    BulrushleadError
        ``MESSAGE_MALFORMED`` if the update applies to another revision or ends at
        an earlier one.
    """
    if update.base_revision == 0:
        return update.changed
    if update.base_revision != revision or update.revision < revision:
        raise BulrushleadError(
            ResultCode.MESSAGE_MALFORMED,
            f"update from revision {update.base_revision} to {update.revision} does "
            f"not apply to revision {revision}; request a full update",
        )
    sections = {}
    for section in _sections():
        items = _by_key(section, getattr(declaration, section))
        for key in update.removed:
            items.pop(key, None)
        items.update(_by_key(section, getattr(update.changed, section)))
        sections[section] = tuple(items.values())
    return Declaration(**sections)


def _sections() -> Iterable[str]:
    return (field.name for field in attrs.fields(Declaration))


def _by_key(section: str, items: Iterable[Any]) -> dict[ItemKey, Any]:
    return {item_key(section, item): item for item in items}
