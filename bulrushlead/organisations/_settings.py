"""Settings of keys and quotas, which all hosts share."""

import math

import attrs

from bulrushlead.traffic import Organisation

# Part of the tolerance that is used on purpose: it absorbs the noise of small
# organisations.
INTENDED_TOLERANCE = 0.25


@attrs.frozen
class OrganisationSettings:
    """How long hosts may rely on a plan's keys, and how exactly quotas hold.

    Parameters
    ----------
    key_lease_ms : float
        Longest time since a majority confirmed the plan for which a host accepts keys,
        in milliseconds; infinite if withdrawn keys bind connected hosts only.
    window_ms : float
        Length of the windows in which quotas are judged, in milliseconds.
    overshoot : float
        Share by which all hosts together may exceed a quota in a window.
    slack : float
        Requests by which they may exceed it besides.
    """

    key_lease_ms: float = math.inf
    window_ms: float = 5_000.0
    overshoot: float = 0.1
    slack: float = 20.0

    def tolerance(self, organisation: Organisation) -> float:
        """Return the requests by which a quota may be exceeded in a window."""
        return self.overshoot * self.quota(organisation) + self.slack

    def intended_bound(self, organisation: Organisation) -> float:
        """Return the requests that hosts may send on purpose in a window.

        The rest of the bound is for requests that nobody has reported yet.
        """
        tolerance = INTENDED_TOLERANCE * self.tolerance(organisation)
        return self.quota(organisation) + tolerance

    def bound(self, organisation: Organisation) -> float:
        """Return the most requests that all hosts together may send in a window."""
        return self.quota(organisation) + self.tolerance(organisation)

    def quota(self, organisation: Organisation) -> float:
        """Return the requests that an organisation may send in a window."""
        return organisation.rate_per_s * self.window_ms / 1_000.0 + organisation.burst
