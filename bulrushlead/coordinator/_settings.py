"""Settings of a coordinator."""

import attrs

from bulrushlead.organisations import OrganisationSettings
from bulrushlead.results import BulrushleadError, ResultCode


def _check_address(instance, attribute, value):
    host, _, port = value.rpartition(":")
    if not host or not port.isdecimal():
        raise BulrushleadError(
            ResultCode.SETTINGS_INVALID,
            f"{attribute.name} is {value!r}; set it to host:port with a numeric IP "
            "address",
        )


@attrs.frozen
class CoordinatorSettings:
    """Settings of a coordinator.

    Parameters
    ----------
    host_id : str
        Name of the host.
    zone, region : str
        Availability zone and region of the host.
    peer_address : str
        ``host:port`` at which other hosts reach the coordinator.
    seeds : tuple of str
        Peer addresses of the coordinators through which it joins the cluster.
    data_folder : str
        Folder of the replicated log.
    bootstrap : bool
        Whether the seeds may form a new cluster.
    heartbeat_ms : float
        Usual interval between two heartbeats of a backend server, in milliseconds.
    listen_ip : str
        IP address on which to listen for other hosts; that of ``peer_address`` if
        empty.
    zone_regions : dict of str to str
        Region of each availability zone; objects move between servers of one region.
    organisations : OrganisationSettings
        How exactly the quotas of organisations hold.
    tolerated_losses : int
        Coordinators that may lose their disks at once without the loss of a change.
    """

    host_id: str
    zone: str
    region: str
    peer_address: str = attrs.field(validator=_check_address)
    seeds: tuple[str, ...]
    data_folder: str
    bootstrap: bool
    heartbeat_ms: float = 1_500.0
    listen_ip: str = ""
    zone_regions: dict[str, str] = attrs.field(factory=dict)
    organisations: OrganisationSettings = OrganisationSettings()
    tolerated_losses: int = 1
