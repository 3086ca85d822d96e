"""Builds the rate limits of a declaration."""

from bulrushlead.declaration import Declaration
from bulrushlead.leases import LimitKey, RateLimit


def build_limits(declaration: Declaration) -> tuple[RateLimit, ...]:
    """Return the limits that are divided among the entry hosts.

    Parameters
    ----------
    declaration : Declaration
        Configuration in force.

    Returns
    -------
    tuple of RateLimit
        Capacities of regions, bandwidths of links and rate caps of shifts.
    """
    regions = [
        RateLimit(LimitKey.for_region(c.service, c.region), c.requests_per_s)
        for c in declaration.region_capacities
    ]
    links = [
        RateLimit(LimitKey.for_link(link.from_region, link.to_region), link.bytes_per_s)
        for link in declaration.links
    ]
    shifts = [
        RateLimit(
            LimitKey.for_shift(s.name, s.service, s.from_region, s.to_region),
            s.rate_cap_rps,
        )
        for s in declaration.shifts
    ]
    return (*regions, *links, *shifts)
