"""Hosts that share a server's rate, chosen alike by every host."""

import heapq

import xxhash


def select_sharing_hosts(
    hosts: list[tuple[str, str]], server_id: str, region: str, count: int
) -> list[str]:
    """Return the names of the hosts that share the rate of a server.

    Every host that knows the same hosts selects the same ones, so that the shares need
    no communication. The method is rendezvous hashing (Thaler, Ravishankar 1998).

    Parameters
    ----------
    hosts : list of tuple of str
        Name and region of each entry host.
    server_id, region : str
        Identity and region of the server; hosts of its region come first.
    count : int
        Number of hosts to select.
    """
    ranked = heapq.nsmallest(
        count,
        hosts,
        key=lambda host: (
            host[1] != region,
            xxhash.xxh64_intdigest(f"{server_id}/{host[0]}".encode()),
        ),
    )
    return [host_id for host_id, _ in ranked]
