"""Commands that run daemons and check their settings."""

from collections.abc import AsyncIterator

from bulrushlead.backend import SampleServer, SampleServerSettings
from bulrushlead.cli._run import is_tls_configured, new_rng, run_async, run_daemon
from bulrushlead.clock import MonotonicClock
from bulrushlead.control import ControlHost
from bulrushlead.declaration import load_declaration
from bulrushlead.embedded import (
    Deployment,
    DeploymentPlan,
    run_requests,
    show_demo,
)
from bulrushlead.entry import EntryHost
from bulrushlead.operators import Credentials
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.settings import (
    ControlSettings,
    EntrySettings,
    LogSettings,
    load_settings,
)
from bulrushlead.wire import client_context, server_context

_SETTINGS_TYPES = {"control": ControlSettings, "entry": EntrySettings}


def control(settings: str) -> int:
    """Run a control host until SIGINT or SIGTERM.

    Parameters
    ----------
    settings : str
        TOML file with the settings of the host.
    """
    loaded = load_settings(settings, ControlSettings)
    uses_tls = is_tls_configured(loaded.tls)

    async def start() -> AsyncIterator[None]:
        tls = loaded.tls
        host = ControlHost(
            loaded,
            MonotonicClock(),
            new_rng(),
            server_context(tls) if uses_tls else None,
            client_context(tls) if uses_tls else None,
            _credentials(tls) if uses_tls else None,
        )
        await host.start()
        try:
            yield
        finally:
            await host.close()

    return run_daemon(start, loaded.log)


def entry(settings: str) -> int:
    """Run an entry host until SIGINT or SIGTERM.

    Parameters
    ----------
    settings : str
        TOML file with the settings of the host.
    """
    loaded = load_settings(settings, EntrySettings)
    uses_tls = is_tls_configured(loaded.tls)

    async def start() -> AsyncIterator[None]:
        host = EntryHost(
            loaded,
            MonotonicClock(),
            new_rng(),
            ssl_context=client_context(loaded.tls) if uses_tls else None,
        )
        await host.start()
        try:
            yield
            await host.drain()
        finally:
            await host.close()

    return run_daemon(start, loaded.log)


def backend_sample(
    name: str,
    *,
    service: str,
    region: str,
    availability_zone: str,
    entry_hosts: list[str],
    address: str = "127.0.0.1",
    port: int = 0,
    slots: int = 4,
    service_time_ms: float = 5.0,
) -> int:
    """Run a sample backend server for demonstrations.

    Parameters
    ----------
    name : str
        Name of the server.
    service : str
        Service that it runs.
    region : str
        Region of the server.
    availability_zone : str
        Availability zone of the server.
    entry_hosts : list[str]
        IP:port of the entry hosts to announce to, in order of preference.
    address : str
        IP address to listen on.
    port : int
        Port to listen on; 0 lets the operating system assign one.
    slots : int
        Maximum number of concurrent requests.
    service_time_ms : float
        Service time of each request, in milliseconds.
    """

    async def start() -> AsyncIterator[None]:
        server = SampleServer(
            SampleServerSettings(
                name=name,
                service=service,
                region=region,
                availability_zone=availability_zone,
                address=address,
                port=port,
                slots=slots,
                service_time_ms=service_time_ms,
                entry_hosts=tuple(entry_hosts),
            ),
            MonotonicClock(),
        )
        await server.start()
        print(f"{name} listens on {address}:{server.bound_port}", flush=True)
        try:
            yield
            await server.drain()
            await server.wait_running(0)
        finally:
            await server.close()

    return run_daemon(start, LogSettings())


def embedded(
    *, requests: int = 0, data_folder: str = "", log_level: str = "INFO"
) -> int:
    """Run a complete small deployment in one process, on loopback.

    Parameters
    ----------
    requests : int
        Send this many sample requests, check every answer, and exit; 0 sends a few
        and keeps running until SIGINT or SIGTERM.
    data_folder : str
        Parent folder of the control hosts' data folders; a temporary one by default.
    log_level : str
        Lowest level of the log lines to print.
    """
    log = LogSettings(level=log_level)
    if requests > 0:
        return run_async(run_requests(requests, data_folder, log))

    async def start() -> AsyncIterator[None]:
        deployment = Deployment(DeploymentPlan(), data_folder)
        try:
            await deployment.start()
            await show_demo(deployment)
            yield
            await deployment.drain()
        finally:
            await deployment.close()

    return run_daemon(start, log)


def check(file: str, *, kind: str = "declaration") -> int:
    """Validate a settings file or a declaration without applying it.

    Parameters
    ----------
    file : str
        TOML file to check.
    kind : str
        Kind of the file: control, entry or declaration.
    """
    if kind == "declaration":
        load_declaration(file)
    elif kind in _SETTINGS_TYPES:
        loaded = load_settings(file, _SETTINGS_TYPES[kind])
        is_tls_configured(loaded.tls)  # raises if only some files are configured
    else:
        raise BulrushleadError(
            ResultCode.USAGE,
            f"kind {kind!r} is unknown; use control, entry or declaration",
        )
    print(f"{file}: no faults found")
    return 0


def _credentials(tls) -> Credentials:
    return Credentials(
        key_path=tls.key_file,
        certificate_path=tls.certificate_file,
        authority_path=tls.authority_file,
    )
