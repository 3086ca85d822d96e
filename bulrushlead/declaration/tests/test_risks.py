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


def server(name, region, zone="a", slots=4, draining=False):
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


def drained(declaration, *targets):
    drains = tuple(Drain(f"d-{name}", kind, name) for kind, name in targets)
    return attrs.evolve(declaration, drains=drains)


def kinds(old, new, servers=()):
    return [risk.kind for risk in find_risks(old, new, servers)]


def test_first_declaration_and_no_change_are_without_risk(base):
    assert kinds(Declaration(), base) == []
    assert kinds(base, base) == []


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
        server("s1", "casa", slots=20),
        server("s2", "fes", slots=slots_elsewhere),
        server("s3", "fes", slots=50, draining=True),
    ]
    old = attrs.evolve(base, shifts=())
    assert kinds(old, drained(old, *targets), servers) == expected


def test_drains_of_a_service_without_servers_there_are_without_risk(base):
    new = drained(base, (REGION, "agadir"))
    assert kinds(base, new, [server("s1", "fes", slots=1)]) == []


def test_shortage_is_named_once_and_not_with_later_unrelated_changes(base):
    servers = [server("s1", "casa"), server("s2", "fes")]
    old = drained(base, (REGION, "casa"))
    unrelated = attrs.evolve(old, client_blocks=())
    raised_need = attrs.evolve(
        old, services=(attrs.evolve(base.services[0], needed_slots=9),)
    )
    assert kinds(old, unrelated, servers) == []
    assert RiskKind.SLOTS_UNDER_NEED in kinds(old, raised_need, servers)


def test_draining_every_region_is_a_risk_even_without_servers(base):
    new = drained(base, (REGION, "casa"), (REGION, "fes"), (REGION, "agadir"))
    assert set(kinds(base, new)) == {
        RiskKind.SLOTS_UNDER_NEED,
        RiskKind.SHIFT_INTO_DRAIN,
        RiskKind.NO_ENTRY_HOST,
        RiskKind.NO_CONTROL_QUORUM,
    }


def test_shift_into_a_region_whose_zones_are_drained_is_a_risk(base):
    one_zone = drained(base, (ZONE, "casa-a"))
    both_zones = drained(base, (ZONE, "casa-a"), (ZONE, "casa-b"))
    assert kinds(base, one_zone) == []
    assert kinds(base, both_zones) == [RiskKind.SHIFT_INTO_DRAIN]


def test_control_hosts_keep_a_quorum(base):
    one = (DrainTarget.HOST, "control-casa")
    two = (DrainTarget.HOST, "control-fes")
    assert kinds(base, drained(base, one)) == []
    assert kinds(base, drained(base, one, two)) == [RiskKind.NO_CONTROL_QUORUM]


def test_removal_of_the_last_entry_host_is_a_risk(base):
    control = tuple(host for host in base.hosts if host.role is HostRole.CONTROL)
    assert kinds(base, attrs.evolve(base, hosts=control)) == [RiskKind.NO_ENTRY_HOST]


def test_removals_of_what_is_in_use_are_risks(base):
    assert kinds(base, Declaration())[:5] == [
        RiskKind.REGION_REMOVED,
        RiskKind.REGION_REMOVED,
        RiskKind.REGION_REMOVED,
        RiskKind.SERVICE_REMOVED,
        RiskKind.SERVICE_REMOVED,
    ]
    no_limits = attrs.evolve(base, links=base.links[1:], region_capacities=())
    assert kinds(base, no_limits) == [
        RiskKind.LINK_REMOVED,
        RiskKind.CAPACITY_REMOVED,
    ]
