"""The leader's account of what all hosts admit for each organisation."""

import math
from collections.abc import Collection, Iterable

import attrs

from bulrushlead.clock import Clock, decayed
from bulrushlead.logs import Event, EventLogger
from bulrushlead.organisations._messages import (
    UNLIMITED,
    OrganisationUse,
    QuotaState,
    UsageReport,
)
from bulrushlead.organisations._settings import OrganisationSettings
from bulrushlead.organisations._shares import demand_ratio
from bulrushlead.organisations._usage import BINS
from bulrushlead.traffic import Organisation

SPEND_MS = 1_000.0  # time in which the tokens left are handed out, or a debt is repaid
DEMAND_HALF_LIFE_MS = 400.0  # about one report interval of each host
MIN_CHANGE = 0.05  # smaller relative changes of a fraction are not published
# Smaller changes of a demand are published only with other changes: hosts use demands
# only without news.
MIN_DEMAND_CHANGE = 0.05
MIN_DEMAND_CHANGE_PER_S = 0.2
DEMAND_INTERVAL_MS = 1_000.0
# A host without reports for this time may only be cut off. It is charged with what it
# may send until it reports again, or is forgotten.
SILENT_AFTER_MS = 1_300.0
FORGET_AFTER_MS = 15_000.0
# Part of a window in which it may have sent its share of the window's bound.
MIN_SPEND_PART = 0.4
# Longest time after an election until all hosts in touch have reported. Until then they
# go on as without news.
SETTLE_MS = 1_000.0


@attrs.define(eq=False)
class _Use:
    """Counts of one organisation on one host, as of its last report of them."""

    offered: int
    admitted: int
    recent_per_s: float
    usual_per_s: float
    share: float = 0.0  # of all demand, when the host became silent
    charged: float = 0.0  # while the host was silent


@attrs.define(eq=False)
class _Host:
    incarnation: int
    reported_ms: float
    uses: dict[str, _Use] = attrs.field(factory=dict)


@attrs.define(eq=False)
class _Bucket:
    organisation: Organisation
    tokens: float
    updated_ms: float
    demand_per_ms: float = 0.0
    demand_ms: float = 0.0
    usual_per_s: float = 0.0
    hosts: int = 0
    published: QuotaState = UNLIMITED
    revision: int = 0  # of the published state
    # Requests before the table had settled: their times, and how many were admitted.
    history: list[tuple[float, int]] = attrs.field(factory=list)


class QuotaTable:
    """Computes the fraction of its requests that each organisation may send.

    Parameters
    ----------
    clock : Clock
        Source of time.
    settings : OrganisationSettings
        Window and tolerance of the quotas.
    expected : collection of str
        Hosts that reported to an earlier leader.

    Attributes
    ----------
    revision : int
        Revision of the newest published change.
    """

    def __init__(
        self,
        clock: Clock,
        settings: OrganisationSettings,
        expected: Collection[str] = (),
    ):
        self.clock = clock
        self.settings = settings
        self.revision = 0
        self._buckets: dict[str, _Bucket] = {}
        self._hosts: dict[str, _Host] = {}
        self._started_ms = clock.now_ms()
        self._awaited = set(expected)
        self._settled = False
        self._demands_ms = -math.inf
        self._log = EventLogger("organisations")

    def set_organisations(self, organisations: Iterable[Organisation]) -> None:
        """Apply the quotas of a plan; tokens and demand measured so far stay."""
        now_ms = self.clock.now_ms()
        buckets = {}
        for organisation in organisations:
            if not organisation.rate_per_s:
                continue
            bucket = self._buckets.get(organisation.name)
            if bucket is None:
                bucket = self._new_bucket(organisation, now_ms)
            elif bucket.organisation != organisation:
                self._refill(bucket, now_ms)
                bucket.organisation = organisation
            buckets[organisation.name] = bucket
        self._buckets = buckets
        self._publish(now_ms, buckets)

    def record_report(self, host_id: str, report: UsageReport) -> None:
        """Charge what a host admitted since its last report."""
        now_ms = self.clock.now_ms()
        host = self._hosts.get(host_id)
        if host is None:
            host = self._hosts[host_id] = _Host(report.incarnation, now_ms)
        elif host.incarnation != report.incarnation:
            self._forget(host_id)
            host = self._hosts[host_id] = _Host(report.incarnation, now_ms)
        elif host_id in self._awaited:
            self._awaited.discard(host_id)  # its first report was for an earlier leader
        host.reported_ms = now_ms
        self._refund_silence(host)
        for name, counts in report.counts.items():
            if not all(math.isfinite(count) and count >= 0 for count in counts):
                continue  # it would stay in the sums for ever
            use = _Use(*counts)
            before = host.uses.get(name)
            history = report.history.get(name)
            if before is None and history is None:
                continue  # meant for an earlier leader; the next report tells all
            host.uses[name] = use
            bucket = self._buckets.get(name)
            if bucket is not None:
                self._charge(bucket, use, before, history, now_ms)
        self._publish(now_ms, report.counts, only_new=True)

    def published_since(self, revision: int) -> dict[str, QuotaState] | None:
        """Return the states that have changed after a revision, by organisation.

        An organisation without a state is not limited.

        Returns
        -------
        dict of str to QuotaState or None
            None until the demand of all hosts is known.
        """
        if not self._settled:
            return None
        return {
            name: bucket.published
            for name, bucket in self._buckets.items()
            if bucket.revision > revision
        }

    def check(self) -> None:
        """Charge silent hosts, and publish states that have changed."""
        now_ms = self.clock.now_ms()
        for host_id, host in list(self._hosts.items()):
            silent_ms = now_ms - host.reported_ms
            if silent_ms > FORGET_AFTER_MS:
                self._forget(host_id)
            elif silent_ms > SILENT_AFTER_MS:
                self._charge_silence(host, silent_ms)
        self._publish(now_ms, self._buckets)

    def use(self, organisation: Organisation) -> OrganisationUse:
        """Return what all hosts got from an organisation."""
        keys = len(organisation.key_digests)
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            return OrganisationUse(0.0, organisation.burst, keys=keys)
        return OrganisationUse(
            organisation.rate_per_s,
            organisation.burst,
            1_000.0 * _demand_per_ms(bucket, self.clock.now_ms()),
            bucket.usual_per_s,
            bucket.published.fraction,
            bucket.hosts,
            keys,
        )

    def _new_bucket(self, organisation: Organisation, now_ms: float) -> _Bucket:
        bucket = _Bucket(organisation, self._capacity(organisation), now_ms)
        # Hosts may know the organisation from an earlier plan, and go on counting.
        for host in self._hosts.values():
            if (use := host.uses.get(organisation.name)) is not None:
                bucket.usual_per_s += use.usual_per_s
                bucket.hosts += 1
        return bucket

    def _charge(
        self,
        bucket: _Bucket,
        use: _Use,
        before: _Use | None,
        history: tuple[int, ...] | None,
        now_ms: float,
    ) -> None:
        bucket.demand_per_ms = _demand_per_ms(bucket, now_ms)
        bucket.demand_ms = now_ms
        bucket.usual_per_s += use.usual_per_s
        if before is not None:
            if use.offered < before.offered:  # the host counts from 0 again
                before = attrs.evolve(before, offered=0, admitted=0)
            self._spend(bucket, [(now_ms, use.admitted - before.admitted)], now_ms)
            new_offered = use.offered - before.offered
            bucket.demand_per_ms += math.log(2) / DEMAND_HALF_LIFE_MS * new_offered
            bucket.usual_per_s -= before.usual_per_s
        else:
            bucket.hosts += 1
            bin_ms = self.settings.window_ms / BINS
            admitted = [
                (now_ms - number * bin_ms, count)
                for number, count in enumerate(history)
            ]
            self._spend(bucket, admitted, now_ms)
            bucket.demand_per_ms += use.recent_per_s / 1_000.0

    def _spend(
        self, bucket: _Bucket, admitted: list[tuple[float, int]], now_ms: float
    ) -> None:
        if not self._settled:
            bucket.history += admitted
            return
        self._refill(bucket, now_ms)
        bucket.tokens -= sum(count for _, count in admitted)

    def _settle(self, now_ms: float) -> bool:
        """Return whether the table can publish now, after an election."""
        if self._awaited and now_ms - self._started_ms < SETTLE_MS:
            return False
        self._settled = True
        self.revision += 1
        for bucket in self._buckets.values():
            self._replay(bucket, now_ms)
        return True

    def _replay(self, bucket: _Bucket, now_ms: float) -> None:
        """Compute the tokens that are left after the requests that hosts reported."""
        bucket.updated_ms = self._started_ms - self.settings.window_ms
        bucket.tokens = self._capacity(bucket.organisation)
        for admitted_ms, count in sorted(bucket.history):
            if admitted_ms > bucket.updated_ms:
                self._refill(bucket, admitted_ms)
            bucket.tokens -= count
        self._refill(bucket, now_ms)
        bucket.history = []

    def _charge_silence(self, host: _Host, silent_ms: float) -> None:
        """Charge what a host without news may send: at most its share of the bound.

        It may have sent most of that before it knew that it has no news.
        """
        window_ms = self.settings.window_ms
        bounded_ms = max(silent_ms, MIN_SPEND_PART * window_ms)
        for name, use in host.uses.items():
            bucket = self._buckets.get(name)
            if bucket is None or not bucket.usual_per_s:
                continue
            if not use.share:
                use.share = demand_ratio(
                    use.usual_per_s, bucket.usual_per_s, bucket.hosts
                )
            bound = self.settings.bound(bucket.organisation)
            charge = min(
                use.recent_per_s * silent_ms / 1_000.0,
                use.share * bound * bounded_ms / window_ms,
            )
            bucket.tokens -= charge - use.charged
            use.charged = charge

    def _refund_silence(self, host: _Host) -> None:
        for name, use in host.uses.items():
            if use.charged and (bucket := self._buckets.get(name)) is not None:
                bucket.tokens += use.charged
            use.share = use.charged = 0.0

    def _forget(self, host_id: str) -> None:
        for name, use in self._hosts.pop(host_id).uses.items():
            if (bucket := self._buckets.get(name)) is not None:
                bucket.usual_per_s = max(0.0, bucket.usual_per_s - use.usual_per_s)
                bucket.hosts -= 1

    def _capacity(self, organisation: Organisation) -> float:
        rate_per_ms = organisation.rate_per_s / 1_000.0
        bound = self.settings.intended_bound(organisation)
        return bound - rate_per_ms * self.settings.window_ms

    def _refill(self, bucket: _Bucket, now_ms: float) -> None:
        organisation = bucket.organisation
        rate_per_ms = organisation.rate_per_s / 1_000.0
        tokens = bucket.tokens + rate_per_ms * (now_ms - bucket.updated_ms)
        # Requests of earlier windows need not be made up for.
        tokens = max(tokens, -rate_per_ms * self.settings.window_ms)
        bucket.tokens = min(self._capacity(organisation), tokens)
        bucket.updated_ms = now_ms

    def _fraction(self, bucket: _Bucket, now_ms: float) -> float:
        self._refill(bucket, now_ms)
        demand_per_ms = _demand_per_ms(bucket, now_ms)
        if demand_per_ms <= 0:
            return 1.0
        allowed_per_ms = bucket.organisation.rate_per_s / 1_000.0
        allowed_per_ms += bucket.tokens / SPEND_MS
        return min(1.0, max(0.0, allowed_per_ms / demand_per_ms))

    def _publish(
        self, now_ms: float, names: Iterable[str], only_new: bool = False
    ) -> None:
        """Update the published states of some organisations.

        Parameters
        ----------
        now_ms : float
            Current time, in milliseconds.
        names : iterable of str
            The organisations.
        only_new : bool
            Whether to leave out those that are limited already: their fractions change
            with each report, and hosts would ask again after each.
        """
        if not self._settled:
            if not self._settle(now_ms):
                return
            # Hosts drop what an earlier leader published with the first states.
            names, only_new = self._buckets, False
        changed = []
        may_send_demands = now_ms - self._demands_ms >= DEMAND_INTERVAL_MS
        for name in names:
            bucket = self._buckets.get(name)
            if bucket is None or (only_new and bucket.published.fraction < 1.0):
                continue
            fraction = self._fraction(bucket, now_ms)
            state = QuotaState(fraction, bucket.usual_per_s, bucket.hosts)
            before = bucket.published
            if _fraction_differs(state, before) or (
                may_send_demands and _demand_differs(state, before)
            ):
                bucket.published = state
                changed.append(bucket)
            if (state.fraction < 1.0) != (before.fraction < 1.0):
                self._write_limit(bucket, now_ms)
        if changed:
            self.revision += 1
            for bucket in changed:
                bucket.revision = self.revision
            if may_send_demands:
                self._demands_ms = now_ms

    def _write_limit(self, bucket: _Bucket, now_ms: float) -> None:
        is_limited = bucket.published.fraction < 1.0
        self._log.write(
            Event.QUOTA_EXCEEDED if is_limited else Event.QUOTA_KEPT,
            organisation=bucket.organisation.name,
            demand_per_s=round(1_000.0 * _demand_per_ms(bucket, now_ms), 1),
            rate_per_s=bucket.organisation.rate_per_s,
            tokens=round(bucket.tokens, 1),
            fraction=round(bucket.published.fraction, 3),
            hosts=bucket.hosts,
        )


def _demand_per_ms(bucket: _Bucket, now_ms: float) -> float:
    return decayed(bucket.demand_per_ms, now_ms - bucket.demand_ms, DEMAND_HALF_LIFE_MS)


def _fraction_differs(state: QuotaState, before: QuotaState) -> bool:
    if (state.fraction < 1.0) != (before.fraction < 1.0):
        return True
    return abs(state.fraction - before.fraction) > MIN_CHANGE * before.fraction


def _demand_differs(state: QuotaState, before: QuotaState) -> bool:
    change_per_s = abs(state.demand_per_s - before.demand_per_s)
    least_per_s = max(MIN_DEMAND_CHANGE_PER_S, MIN_DEMAND_CHANGE * state.demand_per_s)
    return change_per_s > least_per_s
