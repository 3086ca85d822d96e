"""Guards against missed risks of a change, and reported risks that do not exist."""

import attrs
import pytest

from bulrushlead.backend import BackendServer
from bulrushlead.declaration import (
    Declaration,
    Drain,
    DrainTarget,
    HostRole,
    RiskKind,
    find_risks,
)

REGION, ZONE = DrainTarget.REGION, DrainTarget.AVAILABILITY_ZONE


def make_server(name, region, zone="a", slots=4, draining=False):
    return BackendServer(
        name,
        "ordering",
        region,
        f"{region}-{zone}",
        "10.1.0.1:80",
        "1",
        slots,
        390,
        draining,
    )


def with_drains(declaration, *targets):
    drains = tuple(Drain(f"d-{name}", kind, name) for kind, name in targets)
    return attrs.evolve(declaration, drains=drains)


def risk_kinds(old, new, servers=()):
    return [risk.kind for risk in find_risks(old, new, servers)]


def test_first_and_unchanged_declarations_have_no_risk(base):
    assert risk_kinds(Declaration(), base) == []
    assert risk_kinds(base, base) == []


@pytest.mark.parametrize(
    ("slots_elsewhere", "expected"), [(8, []), (7, [RiskKind.SLOTS_UNDER_NEED])]
)
@pytest.mark.parametrize(
    "targets",
    [
        [(REGION, "casa")],
        [(ZONE, "casa-a")],
        [(DrainTarget.BACKEND_SERVER, "s1")],
        [(REGION, "agadir"), (ZONE, "casa-a")],
    ],
)
def test_drain_must_leave_the_needed_slots(base, targets, slots_elsewhere, expected):
    servers = [
        make_server("s1", "casa", slots=20),
        make_server("s2", "fes", slots=slots_elsewhere),
        make_server("s3", "fes", slots=50, draining=True),
    ]
    old = attrs.evolve(base, shifts=())
    assert risk_kinds(old, with_drains(old, *targets), servers) == expected


def test_drain_of_a_region_without_servers_has_no_risk(base):
    new = with_drains(base, (REGION, "agadir"))
    assert risk_kinds(base, new, [make_server("s1", "fes", slots=1)]) == []


def test_shortage_is_not_reported_for_unrelated_changes(base):
    servers = [make_server("s1", "casa"), make_server("s2", "fes")]
    old = with_drains(base, (REGION, "casa"))
    unrelated = attrs.evolve(old, client_blocks=())
    more_needed_slots = attrs.evolve(
        old, services=(attrs.evolve(base.services[0], needed_slots=9),)
    )
    assert risk_kinds(old, unrelated, servers) == []
    assert RiskKind.SLOTS_UNDER_NEED in risk_kinds(old, more_needed_slots, servers)


def test_draining_every_region_is_a_risk_even_without_servers(base):
    new = with_drains(base, (REGION, "casa"), (REGION, "fes"), (REGION, "agadir"))
    assert set(risk_kinds(base, new)) == {
        RiskKind.SLOTS_UNDER_NEED,
        RiskKind.SHIFT_INTO_DRAIN,
        RiskKind.NO_ENTRY_HOST,
        RiskKind.NO_CONTROL_QUORUM,
    }


def test_shift_into_a_region_whose_zones_are_drained_is_a_risk(base):
    one_zone = with_drains(base, (ZONE, "casa-a"))
    both_zones = with_drains(base, (ZONE, "casa-a"), (ZONE, "casa-b"))
    assert risk_kinds(base, one_zone) == []
    assert risk_kinds(base, both_zones) == [RiskKind.SHIFT_INTO_DRAIN]


def test_drains_that_leave_no_control_quorum_are_a_risk(base):
    first_host = (DrainTarget.HOST, "control-casa")
    second_host = (DrainTarget.HOST, "control-fes")
    assert risk_kinds(base, with_drains(base, first_host)) == []
    assert risk_kinds(base, with_drains(base, first_host, second_host)) == [
        RiskKind.NO_CONTROL_QUORUM
    ]


def test_removal_of_the_last_entry_host_is_a_risk(base):
    control_hosts = tuple(host for host in base.hosts if host.role is HostRole.CONTROL)
    assert risk_kinds(base, attrs.evolve(base, hosts=control_hosts)) == [
        RiskKind.NO_ENTRY_HOST
    ]


def test_removal_of_items_in_use_is_a_risk(base):
    assert risk_kinds(base, Declaration())[:5] == [
        RiskKind.REGION_REMOVED,
        RiskKind.REGION_REMOVED,
        RiskKind.REGION_REMOVED,
        RiskKind.SERVICE_REMOVED,
        RiskKind.SERVICE_REMOVED,
    ]
    no_limits = attrs.evolve(base, links=base.links[1:], region_capacities=())
    assert risk_kinds(base, no_limits) == [
        RiskKind.LINK_REMOVED,
        RiskKind.CAPACITY_REMOVED,
    ]
