"""Sample heartbeats for tests."""

import attrs

from bulrushlead.fleet import Announcement, ServerState

HEARTBEAT = Announcement(
    server_id="b1",
    born_ms=1_000,
    sequence=1,
    service="stock",
    address="10.0.0.1:80",
    zone="casa-a",
    version="v1",
    slots=4,
)


def heartbeat(**changes):
    return attrs.evolve(HEARTBEAT, **changes)


def draining(**changes):
    return heartbeat(state=ServerState.DRAINING, **changes)
