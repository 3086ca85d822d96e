"""Plans of deployments in one process."""

import attrs

from bulrushlead.declaration import (
    AvailabilityZone,
    ClientBlock,
    Declaration,
    Host,
    HostRole,
    Link,
    Region,
    RegionCapacity,
    RequestClass,
    Service,
    Shift,
)

LOOPBACK = "127.0.0.1"
LINK_BYTES_PER_S = 35_000_000
LINK_LATENCY_MS = 35.0
CALLER_BLOCK = "127.0.0.0/8"


@attrs.frozen
class ServicePlan:
    """A service and its sample backend servers.

    Parameters
    ----------
    service : Service
        As declared.
    servers_per_zone : int
        Backend servers in each availability zone.
    slots : int
        Slots of each server.
    connections : int
        Connections that each server accepts.
    service_time_ms : float
        Time that each request takes, in milliseconds.
    answer_bytes : int
        Least size of an answer.
    """

    service: Service
    servers_per_zone: int = 1
    slots: int = 4
    connections: int = 390
    service_time_ms: float = 5.0
    answer_bytes: int = 0


@attrs.frozen
class DeploymentPlan:
    """Shape of a deployment.

    Parameters
    ----------
    regions : tuple of str
        Names of the regions; callers on loopback are at home in the first.
    zones_per_region : int
        Availability zones of each region.
    controls : int
        Control hosts, each a replica of the log.
    entries_per_region : int
        Entry hosts of each region.
    services : tuple of ServicePlan
        Services and their backend servers.
    link_bytes_per_s : int
        Limit of each way between two regions.
    link_latency_ms : float
        Declared one-way latency between two regions.
    region_capacities : tuple of RegionCapacity
        Limits of regions.
    shifts : tuple of Shift
        Shifts in force from the start.
    lease_ms, lookup_ttl_ms, sync_interval_ms : int
        Times of the settings, in milliseconds.
    """

    regions: tuple[str, ...] = ("casa", "fes")
    zones_per_region: int = 2
    controls: int = 1
    entries_per_region: int = 1
    services: tuple[ServicePlan, ...] = (
        ServicePlan(Service("orders")),
        ServicePlan(Service("tracking", request_class=RequestClass.BULK)),
    )
    link_bytes_per_s: int = LINK_BYTES_PER_S
    link_latency_ms: float = LINK_LATENCY_MS
    region_capacities: tuple[RegionCapacity, ...] = ()
    shifts: tuple[Shift, ...] = ()
    lease_ms: int = 2_000
    lookup_ttl_ms: int = 5_000
    sync_interval_ms: int = 300

    def zones(self, region: str) -> tuple[str, ...]:
        """Return the names of a region's availability zones."""
        letters = "abcdefgh"[: self.zones_per_region]
        return tuple(f"{region}-{letter}" for letter in letters)

    def entry_names(self) -> tuple[str, ...]:
        """Return the names of all entry hosts."""
        return tuple(
            f"entry-{region}-{number + 1}"
            for region in self.regions
            for number in range(self.entries_per_region)
        )

    def entry_zone(self, name: str) -> tuple[str, str]:
        """Return region and availability zone of an entry host."""
        _, region, number = name.split("-")
        zones = self.zones(region)
        return region, zones[(int(number) - 1) % len(zones)]

    def declaration(self, addresses: dict[str, str]) -> Declaration:
        """Return the declaration of the deployment.

        Parameters
        ----------
        addresses : dict of str to str
            Address of each entry host by name.
        """
        return Declaration(
            regions=tuple(Region(name) for name in self.regions),
            availability_zones=tuple(
                AvailabilityZone(zone, region)
                for region in self.regions
                for zone in self.zones(region)
            ),
            hosts=tuple(
                Host(name, self.entry_zone(name)[1], HostRole.ENTRY, address)
                for name, address in addresses.items()
            ),
            services=tuple(plan.service for plan in self.services),
            region_capacities=self.region_capacities,
            links=tuple(
                Link(source, target, self.link_bytes_per_s, self.link_latency_ms)
                for source in self.regions
                for target in self.regions
                if source != target
            ),
            shifts=self.shifts,
            client_blocks=(ClientBlock(CALLER_BLOCK, self.regions[0]),),
        )
