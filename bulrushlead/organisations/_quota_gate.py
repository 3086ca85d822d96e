"""Admission of an organisation's requests on one host."""

import math
import random
from collections.abc import Callable, Collection

import attrs

from bulrushlead.clock import Clock
from bulrushlead.organisations._messages import UNLIMITED, QuotaState, UsageReport
from bulrushlead.organisations._settings import OrganisationSettings
from bulrushlead.organisations._usage import UsageCounter
from bulrushlead.traffic import Organisation

# News from the leader older than this may miss a change of the fleet's demand: it is
# more than two sync intervals and round trips to the farthest region.
STALE_AFTER_MS = 1_000.0
# Least demand on which shares are based, as a part of the quota: several hosts to which
# an organisation moves without news must not take all of it each.
MIN_DEMAND_RATIO = 0.25
MIN_BETWEEN_NEWS = 3  # requests; callers may move to any host
# Requests in a window that a host gets of an organisation from which on it owns half of
# its part of the quota; with fewer, most of the quota is at the organisation's keeper,
# since chance decides which hosts need it.
OWN_HALF_REQUESTS = 4.0
# Requests that a keeper gets, by the usual demand at all hosts, from which on it admits
# none of the common part: an organisation that sends so much has used it up before.
MAX_KEEPER_RATIO = 1.2
# Part of the requests between news that still counts after them: the leader may be lost
# before it has limited an organisation that it knows to send more.
CARRIED_SHARE = 0.75
# Bounds of the retry delay of a request over the quota.
MIN_RETRY_AFTER_MS = 250
MAX_RETRY_AFTER_MS = 5_000


@attrs.define(eq=False)
class _Share:
    """Part of an organisation's quota that one host uses."""

    usage: UsageCounter
    credit: float  # requests that may pass at the present fraction
    usual_per_ms: float = 0.0  # as of the last news
    admitted: int = 0  # as of the last news
    carried: float = 0.0  # requests before them that still count
    rounding: float | None = None  # of the share, while there is no news
    reported: tuple[int, int] | None = None  # counts that the leader has
    sent: tuple[int, int] | None = None  # counts in the report on its way
    sent_usual_per_ms: float = 0.0


class QuotaGate:
    """Admits requests by the fractions that the leader publishes.

    The leader knows what all hosts admitted and publishes, for each organisation whose
    demand exceeds its quota, the fraction of its requests that every host admits. All
    other organisations are admitted without a limit; their requests are counted. A host
    that hears nothing from the leader admits a share of the quota in proportion to the
    demand that it had; another part of the quota is at one host, the organisation's
    keeper, which others ask.

    Parameters
    ----------
    clock : Clock
        Source of time.
    settings : OrganisationSettings
        Window of the counts.
    rng : random.Random
        Spreads admissions over hosts and retry delays over callers.

    Attributes
    ----------
    states : dict of str to QuotaState
        What the leader published last, by name of the organisation.
    is_keeper : callable
        Returns whether this host keeps what all hosts share of the quota of an
        organisation, by its name.
    """

    def __init__(
        self, clock: Clock, settings: OrganisationSettings, rng: random.Random
    ):
        self.clock = clock
        self.settings = settings
        self.rng = rng
        self.states: dict[str, QuotaState] = {}
        self.is_keeper: Callable[[str], bool] = lambda name: False
        self.incarnation = rng.getrandbits(48)
        self._shares: dict[str, _Share] = {}
        self._started_ms: float | None = None  # of the first request
        self._confirmed_ms = -math.inf
        self._reported_epoch = ""
        self._states_epoch = ""

    def age_ms(self) -> float:
        """Return the age of the leader's news, in milliseconds."""
        return self.clock.now_ms() - self._confirmed_ms

    def is_stale(self) -> bool:
        """Return whether this host only has its share of what all hosts may send."""
        return self.age_ms() > STALE_AFTER_MS

    def fraction(self, name: str) -> float:
        """Return the fraction of an organisation's requests that is admitted."""
        return self.states.get(name, UNLIMITED).fraction

    def admit(self, organisation: Organisation) -> float | None:
        """Count a request, and admit it or return its retry delay.

        Returns
        -------
        float or None
            None if the request is admitted, else the time in milliseconds until the
            organisation may send again from this host, spread over its callers.
        """
        if not organisation.rate_per_s:
            return None
        now_ms = self.clock.now_ms()
        share = self._share(organisation.name)
        is_admitted = self._passes(share, organisation, now_ms)
        share.usage.record_offered(now_ms)
        if not is_admitted:
            return self._retry_after_ms(share, organisation.name, now_ms)
        share.usage.record_admitted(now_ms)
        return None

    def give_back(self, organisation: Organisation) -> None:
        """Withdraw an admitted request that no server has run."""
        share = self._shares.get(organisation.name)
        if share is not None and organisation.rate_per_s:
            share.usage.record_admitted(self.clock.now_ms(), -1)
            share.credit = min(1.0, share.credit + 1.0)

    def retain(self, names: Collection[str]) -> None:
        """Forget the organisations that are not among some names."""
        for name in self._shares.keys() - set(names):
            del self._shares[name]

    def report(self) -> UsageReport:
        """Return the counts that the leader does not have yet."""
        now_ms = self.clock.now_ms()
        counts, history = {}, {}
        for name, share in self._shares.items():
            usage = share.usage
            share.sent = (usage.offered, usage.admitted)
            share.sent_usual_per_ms = usage.usual_per_ms(now_ms)
            if share.sent != share.reported:
                recent_per_s = 1_000.0 * usage.recent_per_ms(now_ms)
                usual_per_s = 1_000.0 * share.sent_usual_per_ms
                counts[name] = (*share.sent, recent_per_s, usual_per_s)
            if share.reported is None:
                history[name] = usage.history(now_ms)
        return UsageReport(self.incarnation, counts, history)

    def record_update(
        self, epoch: str, states: dict[str, QuotaState] | None, asked_ms: float
    ) -> None:
        """Apply the leader's answer to the last report.

        Parameters
        ----------
        epoch : str
            Identifies the leader; a new one has none of this host's counts.
        states : dict of str to QuotaState or None
            States that have changed, all of them from a new leader; None while it does
            not know the demand of all hosts.
        asked_ms : float
            Time of the report, in milliseconds of this host's clock.
        """
        if states is not None:
            if self._states_epoch != epoch:
                self.states = {}
            self.states.update(states)
            self._states_epoch = epoch
        is_first = epoch != self._reported_epoch
        self._reported_epoch = epoch
        for share in self._shares.values():
            if is_first:
                share.reported = None
            elif share.sent is not None:
                share.reported = share.sent
        # A host that has just started has no use to go on with.
        if self._states_epoch in ("", epoch):
            self._confirmed_ms = asked_ms
            for share in self._shares.values():
                share.rounding = None
                if share.sent is not None:
                    share.usual_per_ms = share.sent_usual_per_ms
                    since_news = share.sent[1] - share.admitted
                    share.carried = CARRIED_SHARE * (share.carried + since_news)
                    share.admitted = share.sent[1]

    def _share(self, name: str) -> _Share:
        share = self._shares.get(name)
        if share is None:
            if self._started_ms is None:
                self._started_ms = self.clock.now_ms()
            usage = UsageCounter(self.settings.window_ms, self._started_ms)
            share = self._shares[name] = _Share(usage, self.rng.random())
        return share

    def _passes(self, share: _Share, organisation: Organisation, now_ms: float) -> bool:
        if self.is_stale():
            in_window = share.usage.admitted_in_window(now_ms)
            return in_window + 1 <= self._stale_share(share, organisation)
        if organisation.name not in self.states:
            return True  # nobody knows what it usually sends
        fraction = self.fraction(organisation.name)
        since_news = share.usage.admitted - share.admitted
        spare = self._spare(share, organisation) - share.carried
        if since_news >= max(MIN_BETWEEN_NEWS, spare):
            return False
        if fraction >= 1.0:
            return True
        share.credit = min(1.0 + fraction, share.credit + fraction)
        if share.credit < 1.0:
            return False
        share.credit -= 1.0
        return True

    def _spare(self, share: _Share, organisation: Organisation) -> float:
        """Return the requests that may be sent until the next news from the leader.

        The leader may be lost at the moment at which an organisation sends many times
        its usual: what is left of a window's bound must last until this host notices.
        """
        usual = self._demand_per_s(share, organisation) * self.settings.window_ms / 1e3
        spare = self.settings.intended_bound(organisation) - usual
        return self._ratio(share, organisation) * spare

    def _stale_share(self, share: _Share, organisation: Organisation) -> int:
        """Return the requests that may be sent in a window without news.

        The shares of all hosts add up to the quota. Most of them contain a fraction of
        a request; chance decides which hosts send it.
        """
        if share.rounding is None:
            share.rounding = self.rng.random()
        demand_per_s = self._demand_per_s(share, organisation)
        state = self.states.get(organisation.name, UNLIMITED)
        window_s = self.settings.window_ms / 1_000.0
        per_host = demand_per_s * window_s / max(1, state.hosts)
        owned = per_host / (per_host + OWN_HALF_REQUESTS)
        part = owned * 1_000.0 * share.usual_per_ms / demand_per_s
        recent_per_s = 1_000.0 * share.usage.recent_per_ms(self.clock.now_ms())
        has_spare = (
            state.fraction >= 1.0 and recent_per_s < MAX_KEEPER_RATIO * demand_per_s
        )
        if has_spare and self.is_keeper(organisation.name):
            part += 1.0 - owned
        rounding = share.rounding if share.usual_per_ms else 0.0
        return math.floor(part * self.settings.quota(organisation) + rounding)

    def _ratio(self, share: _Share, organisation: Organisation) -> float:
        """Return the share of this host in all demand.

        One half is in proportion to its demand, one in equal parts: the demand of a
        host with few requests is not known well.
        """
        usual_per_s = 1_000.0 * share.usual_per_ms
        ratio = usual_per_s / self._demand_per_s(share, organisation)
        hosts = self.states.get(organisation.name, UNLIMITED).hosts
        return (ratio + 1.0 / hosts) / 2 if hosts else ratio

    def _demand_per_s(self, share: _Share, organisation: Organisation) -> float:
        """Return the demand at all hosts, over a longer time."""
        return max(
            self.states.get(organisation.name, UNLIMITED).demand_per_s,
            1_000.0 * share.usual_per_ms,
            MIN_DEMAND_RATIO * organisation.rate_per_s,
        )

    def _retry_after_ms(self, share: _Share, name: str, now_ms: float) -> float:
        """Return the mean time between two admissions here, spread by half of it."""
        admitted_per_ms = self.fraction(name) * share.usage.recent_per_ms(now_ms)
        wait_ms = 1.0 / admitted_per_ms if admitted_per_ms else MAX_RETRY_AFTER_MS
        wait_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
        return wait_ms * self.rng.uniform(0.5, 1.5)
