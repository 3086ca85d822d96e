"""What hosts and the leader tell each other of the requests of organisations."""

import attrs

from bulrushlead.wire import message


@message("organisations.usage_report")
class UsageReport:
    """Requests that a host received from organisations with a quota.

    Parameters
    ----------
    incarnation : int
        Start of the host's program; a new one counts from 0 again.
    counts : dict of str to tuple
        By organisation: requests offered and requests admitted since the start, and
        those offered per second of late and over a longer time. Organisations whose
        counts the leader already has are left out.
    history : dict of str to tuple of int
        Requests admitted in each tenth of the last window, newest first, of the
        organisations of which the leader has no counts yet.
    """

    incarnation: int = 0
    counts: dict[str, tuple[int, int, float, float]] = attrs.field(factory=dict)
    history: dict[str, tuple[int, ...]] = attrs.field(factory=dict)


@message("organisations.quota_state")
class QuotaState:
    """What the leader knows of an organisation with a quota.

    Parameters
    ----------
    fraction : float
        Fraction of its requests that each host admits; 1 if it is not limited.
    demand_per_s : float
        Requests per second that all hosts get from it, over a longer time.
    hosts : int
        Hosts that get them.
    """

    fraction: float = 1.0
    demand_per_s: float = 0.0
    hosts: int = 0


UNLIMITED = QuotaState()
