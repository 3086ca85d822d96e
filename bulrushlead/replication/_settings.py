"""Settings of one replica and their constraints."""

import attrs

from bulrushlead.results import BulrushleadError, ResultCode

MAX_PEERS = 15
MAX_PORT_DIGITS = 5
MAX_LEASE_SHARE = 0.9  # of election_min_ms; the rest is a margin for clock drift
MIN_HEARTBEATS_PER_LEASE = 3
# Limit of the command or snapshot bytes in one message; a whole message is limited to
# 4 MiB.
MAX_PART_BYTES = 2 * 1024 * 1024


def _invalid(key: str, value: object, allowed: str) -> BulrushleadError:
    return BulrushleadError(
        ResultCode.SETTINGS_INVALID, f"replica.{key} is {value!r}; set it to {allowed}"
    )


def _at_least(minimum: float):
    def check(instance, attribute, value):
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise _invalid(attribute.name, value, "a number")
        if value < minimum:
            raise _invalid(attribute.name, value, f"at least {minimum}")

    return check


def _between(minimum: int, maximum: int):
    def check(instance, attribute, value):
        if not isinstance(value, int) or not minimum <= value <= maximum:
            raise _invalid(attribute.name, value, f"{minimum} to {maximum}")

    return check


def _check_address(instance, attribute, value):
    if not is_address(value):
        raise _invalid(attribute.name, value, "host:port by IP number")


def _check_peers(instance, attribute, value):
    for peer in value:
        if not is_address(peer):
            raise _invalid(attribute.name, peer, "host:port by IP number")
    if instance.address in value:
        raise _invalid(attribute.name, value, "the other replicas only")
    if len(set(value)) != len(value) or len(value) > MAX_PEERS:
        raise _invalid(attribute.name, value, f"at most {MAX_PEERS} distinct addresses")


def is_address(value: object) -> bool:
    """Return whether a value is ``host:port`` with a port that exists."""
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    is_number = port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    return bool(host) and is_number and 0 < int(port) < 65536


@attrs.frozen
class ReplicaSettings:
    """Settings of one replica of the log.

    Parameters
    ----------
    address : str
        ``host:port`` by which the other replicas reach this one.
    peers : sequence of str
        Addresses of the other replicas that form the cluster at its first start;
        empty for a single replica. Once the cluster exists, its members are those in
        the log.
    data_folder : str
        Folder of the journal and the snapshots.
    bootstrap : bool, default=False
        Whether a replica with an empty folder may bootstrap a new cluster. It does
        so only if its address is the lowest of those that may, and every peer answers
        that it belongs to no cluster and is configured with the same addresses. The
        folder remembers it, so that a restart during the first start may leave it out.
    heartbeat_ms : float, default=150
        Interval between messages of the leader to an idle peer, in milliseconds.
    lease_ms : float, default=540
        How long the leader may answer after it sent the last message that a quorum
        acknowledged, in milliseconds.
    election_min_ms : float, default=600
        Shortest election timeout, and the time for which a replica refuses votes
        after a message of a leader, in milliseconds.
    election_max_ms : float, default=1000
        Longest election timeout, in milliseconds.
    admit_newcomers : bool, default=False
        Whether the leader admits a replica at an address that is not in the log, in
        the place of an absent voter if there is one.
    replace_silent_ms : float, default=2000
        Silence of a voter after which a newcomer takes its place, in milliseconds.
        Shorter than ``retire_silent_ms``, since a replica at a new address suggests
        that another one was replaced.
    retire_silent_ms : float, default=10000
        Silence of a voter after which it may be removed, in milliseconds.
    min_voters : int, default=3
        Number of voters below which none is removed for its silence. With fewer than
        ``2 n + 1`` voters an accepted change may be on only ``n`` disks.
    call_timeout_ms : float, default=300
        Time allowed for one call to a peer, in milliseconds.
    snapshot_threshold_entries : int, default=2000
        Applied entries after which a snapshot is written. The threshold is eight
        times as high while the log is smaller than the last snapshot.
    snapshot_threshold_bytes : int, default=8 MiB
        Bytes of commands in the log after which a snapshot is written.
    snapshot_trailing_entries : int, default=500
        Entries before a snapshot that stay in the log, so that a replica slightly
        behind needs no snapshot.
    append_bytes : int, default=512 KiB
        Maximum bytes of commands in one append message.
    snapshot_chunk_bytes : int, default=256 KiB
        Maximum bytes of a snapshot in one message.

    Raises
    ------
    BulrushleadError
        ``SETTINGS_INVALID``, with the invalid value and the allowed ones.
    """

    address: str = attrs.field(validator=_check_address)
    peers: tuple[str, ...] = attrs.field(
        default=(), converter=tuple, validator=_check_peers
    )
    data_folder: str = ""
    bootstrap: bool = False
    heartbeat_ms: float = attrs.field(default=150, validator=_at_least(1))
    lease_ms: float = attrs.field(default=540, validator=_at_least(1))
    election_min_ms: float = attrs.field(default=600, validator=_at_least(1))
    election_max_ms: float = attrs.field(default=1000, validator=_at_least(1))
    admit_newcomers: bool = False
    replace_silent_ms: float = attrs.field(default=2_000, validator=_at_least(1))
    retire_silent_ms: float = attrs.field(default=10_000, validator=_at_least(1))
    min_voters: int = attrs.field(default=3, validator=_at_least(3))
    call_timeout_ms: float = attrs.field(default=300, validator=_at_least(1))
    snapshot_threshold_entries: int = attrs.field(default=2000, validator=_at_least(1))
    snapshot_threshold_bytes: int = attrs.field(
        default=8 * 1024 * 1024, validator=_at_least(1024)
    )
    snapshot_trailing_entries: int = attrs.field(default=500, validator=_at_least(0))
    append_bytes: int = attrs.field(
        default=512 * 1024, validator=_between(1024, MAX_PART_BYTES)
    )
    snapshot_chunk_bytes: int = attrs.field(
        default=256 * 1024, validator=_between(1024, MAX_PART_BYTES)
    )

    def __attrs_post_init__(self):
        max_lease_ms = self.election_min_ms * MAX_LEASE_SHARE
        if self.lease_ms > max_lease_ms:
            raise _invalid(
                "lease_ms",
                self.lease_ms,
                f"at most {max_lease_ms:.0f} ({MAX_LEASE_SHARE} of election_min_ms)",
            )
        if self.heartbeat_ms * MIN_HEARTBEATS_PER_LEASE > self.lease_ms:
            raise _invalid(
                "heartbeat_ms",
                self.heartbeat_ms,
                f"at most {self.lease_ms / MIN_HEARTBEATS_PER_LEASE:.0f} "
                f"(lease_ms / {MIN_HEARTBEATS_PER_LEASE})",
            )
        if self.election_max_ms <= self.election_min_ms:
            raise _invalid(
                "election_max_ms",
                self.election_max_ms,
                f"more than election_min_ms ({self.election_min_ms})",
            )
