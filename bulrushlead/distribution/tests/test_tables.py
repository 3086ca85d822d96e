"""Versioned tables and configuration updates.

The tests guard against a reader whose copy differs from the source after it applied
only the changes since its version.
"""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushlead.declaration import Declaration, Link, Region, Service, Shift
from bulrushlead.distribution import VersionedTable, apply_update, build_update
from bulrushlead.results import BulrushleadError

OPERATIONS = st.lists(
    st.tuples(st.sampled_from(["put", "remove", "read"]), st.sampled_from("abc")),
    max_size=30,
)


@given(OPERATIONS)
def test_a_reader_of_changes_always_ends_with_the_whole_table(operations):
    table, copy, version = VersionedTable(), {}, 0
    for number, (operation, key) in enumerate([*operations, ("read", "")]):
        if operation == "put":
            table.put(key, (key, number))
        elif operation == "remove":
            table.remove(key)
        else:
            changes = table.changes_since(version)
            if changes.is_full:
                copy.clear()
            for gone in changes.removed:
                copy.pop(gone, None)
            copy.update({value[0]: value for value in changes.changed})
            version = changes.version
            assert sorted(copy.values()) == sorted(table.values())


def test_a_reader_older_than_the_stored_removals_receives_the_full_table():
    table = VersionedTable()
    table.put("keep", 1)
    for number in range(1_500):
        table.put(f"gone-{number}", number)
        table.remove(f"gone-{number}")
    assert table.changes_since(1).is_full
    assert not table.changes_since(table.version - 2).is_full


SHIFT = Shift("move", "stock", "fes", "casa", 10.0, 100)


def declarations():
    return st.builds(
        Declaration,
        regions=st.lists(st.builds(Region, st.sampled_from("abc")), unique=True).map(
            tuple
        ),
        services=st.lists(
            st.builds(Service, st.sampled_from("xyz"), timeout_ms=st.integers(1, 3)),
            unique_by=lambda service: service.name,
        ).map(tuple),
        links=st.lists(
            st.builds(
                Link,
                st.sampled_from("ab"),
                st.sampled_from("ab"),
                st.integers(1, 2),
            ),
            unique_by=lambda link: (link.from_region, link.to_region),
        ).map(tuple),
        shifts=st.sampled_from([(), (SHIFT,), (attrs.evolve(SHIFT, percent_cap=5.0),)]),
    )


@given(declarations(), declarations())
def test_an_update_leads_from_any_configuration_to_any_other(old, new):
    update = build_update(old, 3, new, 4)
    updated = apply_update(old, 3, update)
    for field in attrs.fields(Declaration):
        assert set(getattr(updated, field.name)) == set(getattr(new, field.name))


def test_an_update_of_one_item_contains_only_that_item():
    old = Declaration(regions=tuple(Region(f"r{n}") for n in range(100)))
    new = attrs.evolve(old, regions=(*old.regions, Region("new")))
    update = build_update(old, 1, new, 2)
    assert update.changed == Declaration(regions=(Region("new"),))


def test_an_update_from_another_revision_is_rejected():
    update = build_update(Declaration(), 3, Declaration(), 4)
    with pytest.raises(BulrushleadError):
        apply_update(Declaration(), 2, update)
