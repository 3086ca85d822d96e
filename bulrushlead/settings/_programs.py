"""Settings of the control program and of the entry program."""

import attrs

from bulrushlead.settings._fields import (
    address_of,
    in_range,
    non_empty,
    not_blank,
    one_of,
    setting,
)


@attrs.frozen
class LogSettings:
    """Settings of a program's log.

    Parameters
    ----------
    format : str
        ``"human"`` or ``"json"``.
    level : str
        Lowest level that is written.
    """

    format: str = setting(
        "Format of the log lines.", one_of("human", "json"), default="human"
    )
    level: str = setting(
        "Lowest level that is written.",
        one_of("DEBUG", "INFO", "WARNING", "ERROR"),
        default="INFO",
    )


@attrs.frozen
class TlsSettings:
    """Settings for TLS; empty paths mean connections without TLS.

    Parameters
    ----------
    certificate_file, key_file, authority_file : str
        Paths of PEM files: certificate and private key of this process, and
        certificate of the certificate authority that it trusts. Either all three
        paths are set or none.
    """

    certificate_file: str = setting("PEM certificate of this process.", default="")
    key_file: str = setting("PEM private key of this process.", default="")
    authority_file: str = setting(
        "PEM certificate of the trusted certificate authority.", default=""
    )


@attrs.frozen
class ControlSettings:
    """Settings of a control host.

    Parameters
    ----------
    name : str
        Name of the host.
    peer_address, operator_address, metrics_address : str
        ``IP:port`` that other processes, operators and metrics collectors
        connect to.
    peers : tuple of str
        Peer addresses of all control hosts, including this one.
    data_folder : str
        Folder of the replicated log.
    """

    name: str = setting("Name of the host.", not_blank())
    peer_address: str = setting(
        "Address that other processes connect to.", address_of()
    )
    operator_address: str = setting(
        "Address that operators connect to (gRPC).", address_of()
    )
    metrics_address: str = setting(
        "Address that serves the metrics (HTTP).", address_of()
    )
    peers: tuple[str, ...] = setting(
        "Peer addresses of all control hosts, this one included.",
        non_empty(address_of()),
    )
    data_folder: str = setting("Folder of the replicated log.", not_blank())
    bootstrap: bool = setting(
        "Whether the host may bootstrap a new cluster on its first start.",
        default=False,
    )
    lease_ms: int = setting(
        "Duration of the lease of an entry host, in milliseconds.",
        in_range(500, 60_000),
        default=2_000,
    )
    announcement_timeout_ms: int = setting(
        "Time without a report after which a backend server is removed, "
        "in milliseconds.",
        in_range(500, 60_000),
        default=3_000,
    )
    log: LogSettings = setting("Settings of the log.", factory=LogSettings)
    tls: TlsSettings = setting(
        "Certificates and private key for TLS.", factory=TlsSettings
    )


@attrs.frozen
class EntrySettings:
    """Settings of an entry host.

    Parameters
    ----------
    name : str
        Name of the host.
    region, availability_zone : str
        Location of the host.
    address : str
        ``IP:port`` that callers and backend servers connect to.
    control_addresses : tuple of str
        Peer addresses of all control hosts.
    """

    name: str = setting("Name of the host.", not_blank())
    region: str = setting("Region of the host.", not_blank())
    availability_zone: str = setting("Availability zone of the host.", not_blank())
    address: str = setting(
        "Address that callers and backend servers connect to.", address_of()
    )
    control_addresses: tuple[str, ...] = setting(
        "Peer addresses of all control hosts.", non_empty(address_of())
    )
    capacity_rps: int = setting(
        "Requests per second that this host can handle.",
        in_range(1, 1_000_000),
        default=1_000,
    )
    lookup_ttl_ms: int = setting(
        "Time for which callers may cache the answer of a look-up, in milliseconds.",
        in_range(100, 600_000),
        default=5_000,
    )
    sync_interval_ms: int = setting(
        "Time between two lease renewals with the control hosts, in milliseconds.",
        in_range(50, 10_000),
        default=300,
    )
    max_body_bytes: int = setting(
        "Largest request body, in bytes.",
        in_range(1, 1_073_741_824),
        default=8_388_608,
    )
    max_answer_bytes: int = setting(
        "Largest answer of a backend server, in bytes.",
        in_range(1, 1_073_741_824),
        default=67_108_864,
    )
    log: LogSettings = setting("Settings of the log.", factory=LogSettings)
    tls: TlsSettings = setting(
        "Certificates and private key for TLS.", factory=TlsSettings
    )
