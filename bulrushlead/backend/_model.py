"""Messages in which a backend server describes itself."""

from bulrushlead.wire import message


@message("backend.server")
class BackendServer:
    """Identity, address and capacity of a backend server.

    Parameters
    ----------
    name : str
        Name, unique across all services.
    service : str
        Name of the service that it runs.
    region, availability_zone : str
        Location of the server.
    address : str
        ``host:port``, with an IP address as host.
    incarnation : str
        Identifier of this run of the server; a restart changes it.
    slots : int
        Maximum number of concurrent requests.
    connections : int
        Maximum number of connections.
    draining : bool
        Whether the server is draining: it gets no new requests.
    """

    name: str
    service: str
    region: str
    availability_zone: str
    address: str
    incarnation: str
    slots: int
    connections: int
    draining: bool = False


@message("backend.announcement")
class Announcement:
    """Periodic announcement of a backend server.

    Parameters
    ----------
    server : BackendServer
        The announced server.
    sequence : int
        Sequence number within one incarnation; a lower number is older.
    reported_load : float
        Share of slots in use, 0 to 1, as the server reports it.
    """

    server: BackendServer
    sequence: int = 0
    reported_load: float = 0.0
