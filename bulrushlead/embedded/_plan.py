"""Plans of embedded deployments."""

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
CALLER_BLOCK = "127.0.0.0/8"  # client block of loopback callers


@attrs.frozen
class ServicePlan:
    """A service and its sample backend servers.

    Parameters
    ----------
    service : Service
        Declared service.
    servers_per_zone : int
        Number of backend servers in each availability zone.
    slots : int
        Maximum concurrent requests of each server.
    connections : int
        Maximum connections of each server.
    service_time_ms : float
        Service time of each request, in milliseconds.
    answer_bytes : int
        Minimum size of an answer's body, in bytes.
    """

    service: Service
    servers_per_zone: int = 1
    slots: int = 4
    connections: int = 390
    service_time_ms: float = 5.0
    answer_bytes: int = 0


@attrs.frozen
class DeploymentPlan:
    """Size and configuration of an embedded deployment.

    Parameters
    ----------
    regions : tuple of str
        Names of the regions; the first is the home region of loopback callers.
    zones_per_region : int
        Number of availability zones in each region.
    controls : int
        Number of control hosts, each a replica of the log.
    entries_per_region : int
        Number of entry hosts in each region.
    services : tuple of ServicePlan
        Services and their backend servers.
    link_bytes_per_s : int
        Declared bandwidth limit of each direction between two regions, in bytes per
        second.
    link_latency_ms : float
        Declared one-way latency between two regions, in milliseconds.
    region_capacities : tuple of RegionCapacity
        Declared capacities of services in regions.
    shifts : tuple of Shift
        Declared shifts.
    lease_ms, lookup_ttl_ms, sync_interval_ms : int
        Values of the host settings of the same names, in milliseconds.
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

    def entry_location(self, name: str) -> tuple[str, str]:
        """Return the region and availability zone of an entry host."""
        _, region, number = name.split("-")
        zones = self.zones(region)
        return region, zones[(int(number) - 1) % len(zones)]

    def declaration(self, addresses: dict[str, str]) -> Declaration:
        """Return the declaration of the deployment.

        Parameters
        ----------
        addresses : dict of str to str
            Addresses of the entry hosts by name.
        """
        return Declaration(
            regions=tuple(Region(name) for name in self.regions),
            availability_zones=tuple(
                AvailabilityZone(zone, region)
                for region in self.regions
                for zone in self.zones(region)
            ),
            hosts=tuple(
                Host(name, self.entry_location(name)[1], HostRole.ENTRY, address)
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
