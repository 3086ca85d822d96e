"""Admission of an organisation's requests on one host."""

import math
import random
from collections.abc import Callable, Collection

import attrs

from bulrushlead.clock import Clock
from bulrushlead.organisations._messages import UNLIMITED, QuotaState, UsageReport
from bulrushlead.organisations._settings import OrganisationSettings
from bulrushlead.organisations._shares import demand_ratio, owned_part
from bulrushlead.organisations._usage import UsageCounter
from bulrushlead.traffic import Organisation

# Time since the last answer of the leader from which on it counts as lost: it answers
# within a sync interval and a round trip.
SILENT_AFTER_MS = 600.0
# An answer to a question that is older than this may miss a change of the fleet's
# demand: two answers and their round trips take less.
STALE_AFTER_MS = 1_000.0
# Least demand on which shares are based, as a part of the quota: several hosts to which
# an organisation moves without news must not take all of it each.
MIN_DEMAND_RATIO = 0.25
# Requests that each host may always admit between two news, since callers may move to
# any host.
MIN_BETWEEN_NEWS = 3
# Part of the requests above the usual demand, up to the bound of a window, that hosts
# may admit between two news. The rest is for hosts that get more than they expect.
SPARE_PART = 0.9
# Requests at a keeper, relative to the usual demand at all hosts, above which it hands
# out nothing: hosts admitted so much in the last window that the quota is used up.
MAX_KEEPER_RATIO = 1.2
# Part of the requests before the last news that still counts after them: the leader may
# be lost after it has heard of a rising demand and before it has limited it.
CARRIED_PART = 0.75
# Bounds of the retry delay of a request over the quota.
MIN_RETRY_AFTER_MS = 250
MAX_RETRY_AFTER_MS = 5_000


@attrs.define(eq=False)
class _Account:
    """Requests of one organisation, and what the leader knows of them.

    The fields with ``known`` are as of the last report that the leader has answered.
    """

    usage: UsageCounter
    credit: float  # requests that may pass at the present fraction
    known_usual_per_s: float = 0.0
    known_admitted: int = 0
    carried: float = 0.0  # requests admitted before that and still counted
    rounding: float | None = None  # of the share without news
    reported: tuple[int, int] | None = None  # counts that the leader has
    sent: tuple[int, int] | None = None  # counts in the report on its way
    sent_usual_per_s: float = 0.0


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
    settings : OrganisationSettings
        Window and tolerance of the quotas; ``reload`` changes them.
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
        self._accounts: dict[str, _Account] = {}
        self._started_ms: float | None = None  # of the first request
        self._confirmed_ms = self._received_ms = -math.inf
        self._reported_epoch = ""
        self._states_epoch = ""

    def reload(self, settings: OrganisationSettings) -> None:
        """Apply changed settings; the counts of another window start from 0."""
        if settings.window_ms != self.settings.window_ms:
            self._accounts.clear()
        self.settings = settings

    def age_ms(self) -> float:
        """Return the age of the leader's news, in milliseconds."""
        return self.clock.now_ms() - self._confirmed_ms

    def is_stale(self) -> bool:
        """Return whether this host only has its share of what all hosts may send."""
        return self.age_ms() > STALE_AFTER_MS or self._silence_ms() > SILENT_AFTER_MS

    def _silence_ms(self) -> float:
        """Return the time since the last answer of the leader, in milliseconds."""
        return self.clock.now_ms() - self._received_ms

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
        account = self._account(organisation.name)
        is_admitted = self._passes(account, organisation, now_ms)
        account.usage.record_offered(now_ms)
        if not is_admitted:
            return self._retry_after_ms(account, organisation.name, now_ms)
        account.usage.record_admitted(now_ms)
        return None

    def give_back(self, organisation: Organisation) -> None:
        """Withdraw an admitted request that no server has run."""
        account = self._accounts.get(organisation.name)
        if account is not None and organisation.rate_per_s:
            account.usage.record_admitted(self.clock.now_ms(), -1)
            account.credit = min(1.0, account.credit + 1.0)

    def retain(self, names: Collection[str]) -> None:
        """Forget the organisations that are not among some names."""
        for name in self._accounts.keys() - set(names):
            del self._accounts[name]

    def report(self) -> UsageReport:
        """Return the counts that the leader does not have yet."""
        now_ms = self.clock.now_ms()
        counts, history = {}, {}
        for name, account in self._accounts.items():
            usage = account.usage
            account.sent = (usage.offered, usage.admitted)
            account.sent_usual_per_s = 1_000.0 * usage.usual_per_ms(now_ms)
            if account.sent != account.reported:
                recent_per_s = 1_000.0 * usage.recent_per_ms(now_ms)
                counts[name] = (*account.sent, recent_per_s, account.sent_usual_per_s)
            if account.reported is None:
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
        for account in self._accounts.values():
            if is_first:
                account.reported = None
            elif account.sent is not None:
                account.reported = account.sent
        # A new leader without states does not count as news, except for a host that has
        # just started: it has no demand on which a share could be based.
        if self._states_epoch in ("", epoch):
            self._confirmed_ms = asked_ms
            self._received_ms = self.clock.now_ms()
            for account in self._accounts.values():
                _record_news(account)

    def _account(self, name: str) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            if self._started_ms is None:
                self._started_ms = self.clock.now_ms()
            usage = UsageCounter(self.settings.window_ms, self._started_ms)
            account = self._accounts[name] = _Account(usage, self.rng.random())
        return account

    def _passes(
        self, account: _Account, organisation: Organisation, now_ms: float
    ) -> bool:
        if self.is_stale():
            in_window = account.usage.admitted_in_window(now_ms)
            return in_window + 1 <= self._share_without_news(account, organisation)
        state = self.states.get(organisation.name)
        if state is None:
            return True  # nobody knows what it usually sends
        if self._exceeds_spare(account, organisation):
            return False
        if state.fraction >= 1.0:
            return True
        account.credit = min(1.0 + state.fraction, account.credit + state.fraction)
        if account.credit < 1.0:
            return False
        account.credit -= 1.0
        return True

    def _exceeds_spare(self, account: _Account, organisation: Organisation) -> bool:
        """Return whether no more requests may be sent until the leader's next news.

        The leader may be lost at the moment at which an organisation sends many times
        its usual: what is left of a window's bound must last until this host notices.
        """
        demand_per_s = self._demand_per_s(account, organisation)
        usual = demand_per_s * self.settings.window_ms / 1_000.0
        spare = SPARE_PART * (self.settings.intended_bound(organisation) - usual)
        hosts = self.states[organisation.name].hosts
        ratio = demand_ratio(account.known_usual_per_s, demand_per_s, hosts)
        since_news = account.usage.admitted - account.known_admitted
        return since_news >= max(MIN_BETWEEN_NEWS, ratio * spare - account.carried)

    def _share_without_news(self, account: _Account, organisation: Organisation) -> int:
        """Return the requests that may be sent in a window without news.

        The shares of all hosts add up to the quota. Most of them contain a fraction of
        a request; chance decides which hosts send it.
        """
        if account.rounding is None:
            account.rounding = self.rng.random()
        demand_per_s = self._demand_per_s(account, organisation)
        state = self.states.get(organisation.name, UNLIMITED)
        owned = owned_part(demand_per_s, self.settings.window_ms, state.hosts)
        part = owned * account.known_usual_per_s / demand_per_s
        recent_per_s = 1_000.0 * account.usage.recent_per_ms(self.clock.now_ms())
        hands_out = (
            state.fraction >= 1.0 and recent_per_s < MAX_KEEPER_RATIO * demand_per_s
        )
        if hands_out and self.is_keeper(organisation.name):
            part += 1.0 - owned
        rounding = account.rounding if account.known_usual_per_s else 0.0
        return math.floor(part * self.settings.quota(organisation) + rounding)

    def _demand_per_s(self, account: _Account, organisation: Organisation) -> float:
        """Return the demand at all hosts, over a longer time."""
        return max(
            self.states.get(organisation.name, UNLIMITED).demand_per_s,
            account.known_usual_per_s,
            MIN_DEMAND_RATIO * organisation.rate_per_s,
        )

    def _retry_after_ms(self, account: _Account, name: str, now_ms: float) -> float:
        """Return the mean time between two admissions here, spread by half of it."""
        admitted_per_ms = self.fraction(name) * account.usage.recent_per_ms(now_ms)
        wait_ms = 1.0 / admitted_per_ms if admitted_per_ms else MAX_RETRY_AFTER_MS
        wait_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
        return wait_ms * self.rng.uniform(0.5, 1.5)


def _record_news(account: _Account) -> None:
    """Note that the leader has answered the last report."""
    account.rounding = None
    if account.sent is None:
        return
    _, admitted = account.sent
    since_news = admitted - account.known_admitted
    account.carried = CARRIED_PART * (account.carried + since_news)
    account.known_admitted = admitted
    account.known_usual_per_s = account.sent_usual_per_s
