"""Finds the risks of a change to the declaration; a risky change needs force."""

from collections.abc import Iterator, Sequence
from enum import Enum

import attrs

from bulrushlead.backend import BackendServer
from bulrushlead.declaration._model import (
    Declaration,
    DrainTarget,
    HostRole,
    Service,
)


class RiskKind(Enum):
    """Kinds of risk of a change to the declaration."""

    REGION_REMOVED = "region_removed"
    SERVICE_REMOVED = "service_removed"
    LINK_REMOVED = "link_removed"
    CAPACITY_REMOVED = "capacity_removed"
    SLOTS_UNDER_NEED = "slots_under_need"
    SHIFT_INTO_DRAIN = "shift_into_drain"
    NO_ENTRY_HOST = "no_entry_host"
    NO_CONTROL_QUORUM = "no_control_quorum"


@attrs.frozen
class Risk:
    """A possible harm of a change to the declaration.

    Parameters
    ----------
    kind : RiskKind
        Kind of the risk.
    key : str
        Dotted path of the item concerned.
    detail : str
        Reason for the risk, with the figures concerned.
    """

    kind: RiskKind
    key: str
    detail: str

    def __str__(self) -> str:
        return f"{self.kind.value}: {self.key}: {self.detail}"


@attrs.frozen
class _Drained:
    """Names of the drained targets of a declaration, by kind."""

    regions: frozenset[str]
    availability_zones: frozenset[str]
    hosts: frozenset[str]
    backend_servers: frozenset[str]

    def covers(self, server: BackendServer) -> bool:
        return (
            server.region in self.regions
            or server.availability_zone in self.availability_zones
            or server.name in self.backend_servers
        )


def find_risks(
    old: Declaration, new: Declaration, servers: Sequence[BackendServer] = ()
) -> list[Risk]:
    """Return the risks of replacing one declaration by another.

    Parameters
    ----------
    old, new : Declaration
        Declaration in force and its replacement; ``new`` must be valid.
    servers : sequence of BackendServer, optional
        Backend servers that are currently announced.

    Returns
    -------
    list of Risk
        Empty if the change needs no force. All declared drains are assessed
        together, regardless of their start times.
    """
    risks = list(_find_removals(old, new, servers))
    if _drain_targets(old) != _drain_targets(new) or old.services != new.services:
        risks += _find_slot_shortages(old, new, servers)
    if (_drain_targets(old), old.shifts) != (_drain_targets(new), new.shifts):
        risks += _find_shifts_into_drains(new)
    if (_drain_targets(old), old.hosts) != (_drain_targets(new), new.hosts):
        risks += _find_host_losses(old, new)
    return risks


def _find_removals(
    old: Declaration, new: Declaration, servers: Sequence[BackendServer]
) -> Iterator[Risk]:
    new_regions = {region.name for region in new.regions}
    regions_with_zones = {zone.region for zone in old.availability_zones}
    for region in old.regions:
        server_count = sum(server.region == region.name for server in servers)
        if region.name not in new_regions and (
            server_count or region.name in regions_with_zones
        ):
            detail = (
                f"in use by {server_count} announced backend servers or by its zones"
            )
            yield Risk(RiskKind.REGION_REMOVED, f"regions.{region.name}", detail)
    new_services = {service.name for service in new.services}
    for service in old.services:
        if service.name not in new_services:
            server_count = sum(server.service == service.name for server in servers)
            detail = f"{server_count} announced backend servers offer it"
            yield Risk(RiskKind.SERVICE_REMOVED, f"services.{service.name}", detail)
    new_links = {(link.from_region, link.to_region) for link in new.links}
    for link in old.links:
        endpoints = (link.from_region, link.to_region)
        if endpoints not in new_links and new_regions.issuperset(endpoints):
            key = f"links.{link.from_region}->{link.to_region}"
            detail = "both regions stay, and their traffic has no limit here"
            yield Risk(RiskKind.LINK_REMOVED, key, detail)
    new_capacities = {(c.service, c.region) for c in new.region_capacities}
    for capacity in old.region_capacities:
        service_and_region = (capacity.service, capacity.region)
        is_declared = (
            capacity.service in new_services and capacity.region in new_regions
        )
        if service_and_region not in new_capacities and is_declared:
            key = f"region_capacities.{capacity.service}@{capacity.region}"
            detail = f"the limit of {capacity.requests_per_s} requests/s goes"
            yield Risk(RiskKind.CAPACITY_REMOVED, key, detail)


def _find_slot_shortages(
    old: Declaration, new: Declaration, servers: Sequence[BackendServer]
) -> Iterator[Risk]:
    drained = _collect_drained(new)
    all_regions_drained = bool(new.regions) and all(
        region.name in drained.regions for region in new.regions
    )
    for service in new.services:
        service_servers = [
            server for server in servers if server.service == service.name
        ]
        drained_servers = [
            server for server in service_servers if drained.covers(server)
        ]
        if all_regions_drained and service.needed_slots > 0:
            yield _slot_risk(service, 0)
        elif drained_servers:
            remaining_slots = sum(
                server.slots
                for server in service_servers
                if not drained.covers(server) and not server.draining
            )
            if remaining_slots < service.needed_slots:
                yield _slot_risk(service, remaining_slots)


def _slot_risk(service: Service, remaining_slots: int) -> Risk:
    detail = (
        f"the drains leave {remaining_slots} slots; "
        f"needed_slots is {service.needed_slots}"
    )
    return Risk(RiskKind.SLOTS_UNDER_NEED, f"services.{service.name}", detail)


def _find_shifts_into_drains(new: Declaration) -> Iterator[Risk]:
    drained = _collect_drained(new)
    for shift in new.shifts:
        if shift.to_region in drained.regions:
            detail = f"its target region {shift.to_region} is drained"
            yield Risk(RiskKind.SHIFT_INTO_DRAIN, f"shifts.{shift.name}", detail)


def _find_host_losses(old: Declaration, new: Declaration) -> Iterator[Risk]:
    entry_hosts = _remaining_hosts(old, HostRole.ENTRY)
    if entry_hosts and not _remaining_hosts(new, HostRole.ENTRY):
        detail = f"{len(entry_hosts)} entry hosts took callers; none would"
        yield Risk(RiskKind.NO_ENTRY_HOST, "hosts", detail)
    control_hosts = [host for host in new.hosts if host.role is HostRole.CONTROL]
    remaining = _remaining_hosts(new, HostRole.CONTROL)
    quorum = len(control_hosts) // 2 + 1
    if control_hosts and len(remaining) < quorum:
        detail = (
            f"{len(remaining)} of {len(control_hosts)} control hosts stay; "
            f"a quorum is {quorum}"
        )
        yield Risk(RiskKind.NO_CONTROL_QUORUM, "hosts", detail)


def _remaining_hosts(declaration: Declaration, role: HostRole) -> set[str]:
    drained = _collect_drained(declaration)
    region_by_zone = {zone.name: zone.region for zone in declaration.availability_zones}
    return {
        host.name
        for host in declaration.hosts
        if host.role is role
        and host.name not in drained.hosts
        and host.availability_zone not in drained.availability_zones
        and region_by_zone.get(host.availability_zone) not in drained.regions
    }


def _drain_targets(declaration: Declaration) -> set[tuple[DrainTarget, str]]:
    return {(drain.target, drain.target_name) for drain in declaration.drains}


def _collect_drained(declaration: Declaration) -> _Drained:
    targets = _drain_targets(declaration)

    def target_names(kind: DrainTarget) -> frozenset[str]:
        return frozenset(name for target, name in targets if target is kind)

    regions = target_names(DrainTarget.REGION)
    zones = target_names(DrainTarget.AVAILABILITY_ZONE)
    zones_by_region: dict[str, set[str]] = {}
    for zone in declaration.availability_zones:
        zones_by_region.setdefault(zone.region, set()).add(zone.name)
    # Draining every availability zone of a region drains the region.
    fully_drained = {
        region for region, members in zones_by_region.items() if members <= zones
    }
    return _Drained(
        regions=regions | fully_drained,
        availability_zones=zones,
        hosts=target_names(DrainTarget.HOST),
        backend_servers=target_names(DrainTarget.BACKEND_SERVER),
    )
