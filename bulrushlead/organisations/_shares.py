"""How hosts divide a quota among themselves while they hear nothing from the leader.

Hosts and the leader compute the same shares from the demand that the leader published.
"""

# Requests in a window that a host gets of an organisation from which on hosts own half
# of its quota. With fewer, most of it is at the keeper: chance decides which hosts need
# a request, and a host cannot use a fraction of one.
OWN_HALF_REQUESTS = 4.0


def demand_ratio(usual_per_s: float, demand_per_s: float, hosts: int) -> float:
    """Return the part of an organisation's requests that a host may expect.

    One half is in proportion to what the host usually gets, one in equal parts: the
    demand at a host with few requests is not known well.

    Parameters
    ----------
    usual_per_s : float
        Requests per second that the host usually gets.
    demand_per_s : float
        The same for all hosts.
    hosts : int
        Hosts that get requests; 0 if that is not known.
    """
    ratio = min(1.0, usual_per_s / demand_per_s)
    return (ratio + 1.0 / hosts) / 2 if hosts else ratio


def owned_part(demand_per_s: float, window_ms: float, hosts: int) -> float:
    """Return the part of a quota that hosts own; the rest is at the keeper."""
    per_host = demand_per_s * window_ms / 1_000.0 / max(1, hosts)
    return per_host / (per_host + OWN_HALF_REQUESTS)
