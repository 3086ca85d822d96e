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


@message("organisations.list")
class ListOrganisations:
    """An operator's call for all organisations and their use."""


@message("organisations.use")
class OrganisationUse:
    """Use of one organisation at all hosts.

    Parameters
    ----------
    rate_per_s, burst : float
        Its quota; a rate of 0 means no limit.
    demand_per_s : float
        Requests per second that hosts got from it within about a second; 0 without a
        quota, since they are not counted then.
    usual_per_s : float
        The same over a longer time.
    fraction : float
        Fraction of its requests that hosts admit.
    hosts : int
        Hosts that got requests from it.
    keys : int
        Number of its keys.
    """

    rate_per_s: float
    burst: float
    demand_per_s: float = 0.0
    usual_per_s: float = 0.0
    fraction: float = 1.0
    hosts: int = 0
    keys: int = 0


@message("organisations.list_reply")
class OrganisationList:
    """Answer to a ``ListOrganisations``.

    Parameters
    ----------
    plan_version : int
        Plan that names them.
    organisations : dict of str to OrganisationUse
        Use by name.
    """

    plan_version: int
    organisations: dict[str, OrganisationUse]


@message("organisations.find_key")
class FindKey:
    """An operator's call for the organisation that holds a key.

    Parameters
    ----------
    digest : bytes
        Digest of the key; the key itself is not sent.
    """

    digest: bytes


@message("organisations.key_holder")
class KeyHolder:
    """Answer to a ``FindKey``.

    Parameters
    ----------
    organisation : str
        Name of the holder.
    plan_version : int
        Plan that names it.
    """

    organisation: str
    plan_version: int
