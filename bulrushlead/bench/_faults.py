"""Injects faults into the deployment of an experiment."""

import attrs

from bulrushlead.bench._experiment import FaultKind
from bulrushlead.declaration import Drain, DrainTarget
from bulrushlead.embedded import Deployment

# Extra time as a multiple of the service time: requests take ten times as long.
SLOW_EXTRA_FACTOR = 9.0
LYING_EXTRA_FACTOR = 9.0


async def inject(deployment: Deployment, kind: FaultKind) -> None:
    """Inject a fault into a running deployment.

    Parameters
    ----------
    deployment : Deployment
        Deployment under load.
    kind : FaultKind
        Fault to inject.
    """
    await _INJECTIONS[kind](deployment)


async def _slow_tenth(deployment: Deployment) -> None:
    servers = list(deployment.servers.values())
    service_time_ms = deployment.plan.services[0].service_time_ms
    # Every tenth server; of fewer than ten, only the first.
    for server in servers[:: max(1, min(10, len(servers)))]:
        server.faults.extra_ms = service_time_ms * SLOW_EXTRA_FACTOR


async def _lying_server(deployment: Deployment) -> None:
    server = next(iter(deployment.servers.values()))
    server.faults.reported_load = 0.0
    server.faults.extra_ms = (
        deployment.plan.services[0].service_time_ms * LYING_EXTRA_FACTOR
    )


async def _zone_down(deployment: Deployment) -> None:
    zone = deployment.plan.zones(deployment.plan.regions[0])[0]
    for server in deployment.servers.values():
        if server.settings.availability_zone == zone:
            await server.close()


async def _reports_stop(deployment: Deployment) -> None:
    for server in deployment.servers.values():
        await server.stop_reports()


async def _leader_down(deployment: Deployment) -> None:
    for name, host in list(deployment.controls.items()):
        if host.log.is_leader():
            await deployment.stop_control(name)


async def _entry_down(deployment: Deployment) -> None:
    await deployment.stop_entry(next(iter(deployment.entries)))


async def _drain_zone(deployment: Deployment) -> None:
    zone = deployment.plan.zones(deployment.plan.regions[0])[0]
    drain = Drain("experiment", DrainTarget.AVAILABILITY_ZONE, zone)
    declaration = deployment.plan.declaration(deployment.entry_addresses)
    await deployment.apply(attrs.evolve(declaration, drains=(drain,)))


_INJECTIONS = {
    FaultKind.SLOW_TENTH: _slow_tenth,
    FaultKind.LYING_SERVER: _lying_server,
    FaultKind.ZONE_DOWN: _zone_down,
    FaultKind.REPORTS_STOP: _reports_stop,
    FaultKind.LEADER_DOWN: _leader_down,
    FaultKind.ENTRY_DOWN: _entry_down,
    FaultKind.DRAIN_ZONE: _drain_zone,
}
