"""Decodes the platform's settings file into the settings of the programs."""

import math
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs

from bulrushlead.platform._units import parse_duration_ms
from bulrushlead.results import BulrushleadError, Fault, FaultsError, ResultCode

if TYPE_CHECKING:
    from bulrushlead.coordinator import CoordinatorSettings
    from bulrushlead.gateway import GatewaySettings
    from bulrushlead.organisations import OrganisationSettings

# Of a planned stop, for closing connections and ending the process. A coordinator that
# does not answer holds up the end of its connection for half a second.
CLOSE_RESERVE_MS = 600.0
MIN_DRAIN_FRACTION = 0.85  # of grace_ms, which leaves a short one mostly to requests
# Of the time after which no host may use a withdrawn key; the rest is for clocks that
# run at different speeds.
KEY_LEASE_FRACTION = 0.9
MIN_QUOTA_WINDOW_MS = 100.0  # a host reports its requests every few 100 ms
# Changes of sockets, folders and names take effect only after a restart.
FIXED_FIELDS = frozenset(
    {
        "host_id",
        "zone",
        "region",
        "ip",
        "peer_port",
        "data_folder",
        "serves_callers",
        "serves_control",
        "serves_directory",
        "caller_address",
        "readiness_address",
        "control_address",
        "directory_address",
        "tolerated_losses",
    }
)


@attrs.frozen
class HostSettings:
    """Settings that the platform gives to the process of one host.

    Parameters
    ----------
    host_id, zone, region : str
        Name and location of the host.
    ip : str
        Address of the host.
    peer_port : int
        Port for messages between hosts; the same on every host.
    seeds : tuple of str
        Peer addresses of a few coordinators.
    is_first_start : bool
        Whether the whole system starts for the first time.
    data_folder : str
        Folder for state; empty on a host without a disk.
    zone_regions : dict of str to str
        Region of each availability zone.
    serves_callers, serves_control, serves_directory : bool
        Whether the process serves callers, the control interface and look-ups.
    caller_address, readiness_address, control_address, directory_address : str
        Addresses that it listens on; empty if it does not listen.
    heartbeat_ms, grace_ms : float
        Interval between two heartbeats of a server, and time allowed for a planned
        stop, in milliseconds.
    lookup_ttl_ms : float
        Longest time for which callers may cache the answer to a look-up, in
        milliseconds.
    retry_ratio, retry_slack, retry_window_ms
        See ``DispatchSettings``.
    warmup_slack
        See ``DispatchSettings``.
    key_lease_ms, quota_window_ms, quota_overshoot, quota_slack
        See ``OrganisationSettings``.
    peer_listen_ip : str
        Address to listen on for other hosts; empty to listen on the address that
        they connect to.
    tolerated_losses : int
        Hosts that may lose their disks at once.
    """

    host_id: str
    zone: str
    region: str
    ip: str
    peer_port: int
    seeds: tuple[str, ...]
    is_first_start: bool
    data_folder: str
    zone_regions: dict[str, str]
    serves_callers: bool
    serves_control: bool
    serves_directory: bool
    caller_address: str
    readiness_address: str
    control_address: str
    directory_address: str
    heartbeat_ms: float
    grace_ms: float
    lookup_ttl_ms: float
    retry_ratio: float
    retry_slack: int
    retry_window_ms: float
    warmup_slack: int
    key_lease_ms: float = math.inf
    quota_window_ms: float = 5_000.0
    quota_overshoot: float = 0.1
    quota_slack: float = 20.0
    peer_listen_ip: str = ""
    tolerated_losses: int = 1

    @property
    def peer_address(self) -> str:
        """Address for messages between hosts."""
        return f"{self.ip}:{self.peer_port}"

    def for_organisations(self) -> "OrganisationSettings":
        """Return the settings of keys and quotas."""
        from bulrushlead.organisations import OrganisationSettings

        return OrganisationSettings(
            key_lease_ms=self.key_lease_ms,
            window_ms=self.quota_window_ms,
            overshoot=self.quota_overshoot,
            slack=self.quota_slack,
        )

    def for_gateway(self) -> "GatewaySettings":
        """Return the settings of a gateway on this host."""
        # Imported here to save memory: a host loads only the program that it runs.
        from bulrushlead.dispatch import DispatchSettings
        from bulrushlead.gateway import GatewaySettings

        return GatewaySettings(
            host_id=self.host_id,
            zone=self.zone,
            region=self.region,
            front_address=self.caller_address,
            readiness_address=self.readiness_address,
            seeds=self.seeds,
            peer_address=self.peer_address,
            drain_ms=max(
                self.grace_ms - CLOSE_RESERVE_MS, self.grace_ms * MIN_DRAIN_FRACTION
            ),
            organisations=self.for_organisations(),
            dispatch=DispatchSettings(
                host_id=self.host_id,
                zone=self.zone,
                region=self.region,
                zone_regions=self.zone_regions,
                retry_ratio=self.retry_ratio,
                retry_slack=self.retry_slack,
                retry_window_ms=self.retry_window_ms,
                warmup_slack=self.warmup_slack,
            ),
        )

    def for_coordinator(self) -> "CoordinatorSettings":
        """Return the settings of a coordinator on this host."""
        from bulrushlead.coordinator import CoordinatorSettings

        return CoordinatorSettings(
            host_id=self.host_id,
            zone=self.zone,
            region=self.region,
            peer_address=self.peer_address,
            seeds=self.seeds,
            data_folder=self.data_folder,
            bootstrap=self.is_first_start,
            heartbeat_ms=self.heartbeat_ms,
            listen_ip=self.peer_listen_ip,
            zone_regions=self.zone_regions,
            organisations=self.for_organisations(),
            tolerated_losses=self.tolerated_losses,
        )


def changed_fields(old: HostSettings, new: HostSettings) -> list[str]:
    """Return the names of the fields that differ between two settings.

    ``peer_listen_ip`` is left out because it is not read from the file.
    """
    return [
        field.name
        for field in attrs.fields(HostSettings)
        if field.name != "peer_listen_ip"
        and getattr(old, field.name) != getattr(new, field.name)
    ]


def load_host_settings(path: str) -> HostSettings:
    """Load the platform's settings file.

    Raises
    ------
    BulrushleadError
        ``SETTINGS_UNREADABLE`` if the file is missing or not valid TOML.
    FaultsError
        ``SETTINGS_INVALID`` with every missing or invalid field. Unknown fields
        are ignored.
    """
    try:
        table = tomllib.loads(Path(path).read_text())
    except (
        OSError,
        UnicodeDecodeError,
        tomllib.TOMLDecodeError,
        RecursionError,
    ) as error:
        raise BulrushleadError(
            ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}"
        ) from error
    reader = _TableReader(table)
    port = reader.get("internalPortRange.0", int)
    serves = reader.get("serves", list, [])
    settings = HostSettings(
        host_id=reader.get("nodeName", str),
        zone=reader.get("zone", str),
        region=reader.get("region", str),
        ip=reader.get("ip", str),
        peer_port=port,
        # The file lists the seeds with the port of the control interface.
        seeds=tuple(
            f"{seed.rpartition(':')[0]}:{port}" for seed in reader.texts("seeds")
        ),
        is_first_start=reader.get("bootstrap", bool, False),
        data_folder=reader.get("dataDir", str, ""),
        zone_regions=reader.text_table("zones"),
        serves_callers="edge" in serves,
        serves_control="control" in serves,
        serves_directory="directory" in serves,
        caller_address=reader.get("listen.front", str, ""),
        readiness_address=reader.get("listen.readinessAddr", str, ""),
        control_address=reader.get("listen.control", str, ""),
        directory_address=reader.get("listen.directory", str, ""),
        heartbeat_ms=reader.duration_ms("heartbeat", "1500ms"),
        grace_ms=reader.duration_ms("bounds.grace", "6s"),
        lookup_ttl_ms=reader.duration_ms("bounds.ttl_max", "5s"),
        retry_ratio=reader.number("bounds.retryBudgetRatio", 0.1),
        retry_slack=int(reader.number("bounds.retryBudgetSlack", 10)),
        retry_window_ms=reader.duration_ms("bounds.budgetWindow", "10s"),
        warmup_slack=int(reader.number("bounds.warmupSlack", 1)),
        key_lease_ms=_key_lease_ms(reader),
        quota_window_ms=_quota_window_ms(reader),
        quota_overshoot=_tolerance(reader, "bounds.quotaOvershoot", 0.1),
        quota_slack=_tolerance(reader, "bounds.quotaSlack", 20),
        tolerated_losses=int(reader.number("faultTolerance.machines", 1)),
    )
    if reader.faults:
        raise FaultsError(ResultCode.SETTINGS_INVALID, path, reader.faults)
    return settings


def _quota_window_ms(reader: "_TableReader") -> float:
    window_ms = reader.duration_ms("bounds.quotaWindow", "5s")
    if window_ms < MIN_QUOTA_WINDOW_MS:
        allowed = f"{MIN_QUOTA_WINDOW_MS} ms or more"
        reader.faults.append(Fault("bounds.quotaWindow", f"{window_ms} ms", allowed))
    return window_ms


def _tolerance(reader: "_TableReader", path: str, default: float) -> float:
    value = float(reader.number(path, default))
    if not (math.isfinite(value) and value >= 0):
        reader.faults.append(Fault(path, str(value), "a number of zero or more"))
    return value


def _key_lease_ms(reader: "_TableReader") -> float:
    if not reader.get("bounds.revokeStrict", bool, False):
        return math.inf
    return KEY_LEASE_FRACTION * reader.duration_ms("bounds.revoke", "5s")


class _TableReader:
    """Reads values by dotted path and collects every fault."""

    def __init__(self, table: dict):
        self.table = table
        self.faults: list[Fault] = []

    def get(self, path: str, kind: type, default: Any = None) -> Any:
        value: Any = self.table
        for part in path.split("."):
            if isinstance(value, list):
                is_index = part.isdecimal() and int(part) < len(value)
                value = value[int(part)] if is_index else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        if value is None and default is not None:
            return default
        if kind is float and isinstance(value, int) and not isinstance(value, bool):
            return value
        if not isinstance(value, kind) or (
            kind is not bool and isinstance(value, bool)
        ):
            self.faults.append(Fault(path, repr(value), f"a {kind.__name__}"))
            return kind()
        return value

    def texts(self, path: str) -> list[str]:
        """Return a list of texts."""
        values = self.get(path, list)
        if not all(isinstance(value, str) for value in values):
            self.faults.append(Fault(path, repr(values), "a list of texts"))
            return []
        return values

    def text_table(self, path: str) -> dict[str, str]:
        """Return a table whose values are texts."""
        table = self.get(path, dict)
        if not all(isinstance(value, str) for value in table.values()):
            self.faults.append(Fault(path, repr(table), "a table of texts"))
            return {}
        return table

    def number(self, path: str, default: float) -> float:
        """Return a finite number of zero or more."""
        value = self.get(path, float, default)
        if not (math.isfinite(value) and value >= 0):
            self.faults.append(Fault(path, repr(value), "a number of zero or more"))
            return 0.0
        return float(value)

    def duration_ms(self, path: str, default: str) -> float:
        text = self.get(path, str, default)
        value = parse_duration_ms(text)
        if value is None:
            self.faults.append(Fault(path, repr(text), "a time such as 1500ms or 2.5s"))
            return 0.0
        return value
