"""Settings of a gateway."""

import attrs

from bulrushlead.dispatch import DispatchSettings
from bulrushlead.organisations import OrganisationSettings


@attrs.frozen
class GatewaySettings:
    """Settings of a gateway.

    Parameters
    ----------
    host_id : str
        Name of the host.
    zone, region : str
        Location of the host.
    front_address : str
        ``host:port`` on which it accepts callers' requests.
    readiness_address : str
        ``host:port`` of the readiness check.
    seeds : tuple of str
        Peer addresses of coordinators.
    dispatch : DispatchSettings
        Limits shared by all hosts.
    peer_address : str
        ``host:port`` on which it carries the requests of hosts that reach no server;
        empty if it does not.
    drain_ms : float
        Longest time from a planned stop to the end of the process, in milliseconds.
    organisations : OrganisationSettings
        How long keys may be used without news, and how exactly quotas hold.
    """

    host_id: str
    zone: str
    region: str
    front_address: str
    readiness_address: str
    seeds: tuple[str, ...]
    dispatch: DispatchSettings
    peer_address: str = ""
    drain_ms: float = 5_000.0
    organisations: OrganisationSettings = OrganisationSettings()
