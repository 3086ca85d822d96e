"""Guards against changes that the printed difference omits or misstates."""

import attrs

from bulrushlead.declaration import (
    Declaration,
    Drain,
    DrainTarget,
    Region,
    Service,
    Shift,
    diff,
)


def test_difference_is_printed_by_section(base, snapshot):
    new = attrs.evolve(
        base,
        hosts=base.hosts[1:],
        services=(
            attrs.evolve(base.services[0], timeout_ms=900, needed_slots=9),
            base.services[1],
            Service("prices"),
        ),
        links=(attrs.evolve(base.links[0], bytes_per_s=1), *base.links[1:]),
        shifts=(Shift("new", "delivery", "casa", "fes", 5.0, 7),),
        drains=(Drain("works", DrainTarget.REGION, "agadir"),),
    )
    assert str(diff(base, new)) == snapshot


def test_item_order_makes_no_difference(base):
    reordered = attrs.evolve(base, regions=base.regions[::-1], links=base.links[::-1])
    difference = diff(base, reordered)
    assert not difference
    assert str(difference) == "no difference"


def test_added_item_lists_every_field():
    (change,) = diff(Declaration(), Declaration(regions=(Region("fes"),))).changes
    assert str(change) == "+ regions.fes: name='fes'"
