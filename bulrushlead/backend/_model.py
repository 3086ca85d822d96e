"""What a backend server says about itself."""

from bulrushlead.wire import message


@message("backend.server")
class BackendServer:
    """A backend server as the system knows it.

    Parameters
    ----------
    name : str
        Unique name over all services.
    service : str
        Name of the service it offers.
    region, availability_zone : str
        Where it is.
    address : str
        ``host:port`` by IP number.
    incarnation : str
        Identifier of this run of the server; a restart changes it.
    slots : int
        Most requests it runs at the same time.
    connections : int
        Most connections it accepts.
    draining : bool
        Whether it is leaving and takes no new work.
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
    """Periodic report of a backend server.

    Parameters
    ----------
    server : BackendServer
        The server.
    sequence : int
        Counts the reports of one incarnation; a lower number is older.
    reported_load : float
        Share of its slots in use, 0 to 1, by its own account.
    """

    server: BackendServer
    sequence: int = 0
    reported_load: float = 0.0
