"""Evidence on one request: servers that ended under it, and runs that it completed."""

import math
from collections.abc import Container
from enum import Enum

import attrs

from bulrushlead.quarantine._messages import CrashNotice, SuspectNotice

# Crashes in a row, without a complete run between, that show that a request crashes
# the servers that run it.
QUARANTINE_CRASHES = 3
MAX_CRASHES = 8  # kept of one request; the newest ones
# A request that completed a run this long before its crashes is probably sound: what is
# sent often is in progress wherever servers end.
RECENT_RUN_MS = 120_000


class Trial(Enum):
    """Why a quarantined request may be sent once more."""

    RECHECK = "recheck"  # it completed runs before servers ended under it
    PAUSE = "pause"  # a long time has passed
    RELEASE = "release"  # servers of another version are there


@attrs.frozen
class Crash:
    """A server that ended while it had a request.

    Parameters
    ----------
    sent_ms, ended_ms : float
        When the request was sent and when the server was seen to end, in milliseconds
        of this host's clock.
    version : str
        Software version of the server.
    """

    sent_ms: float
    ended_ms: float
    version: str = ""


@attrs.define(eq=False)
class Suspect:
    """Evidence on one request.

    Crashes count as a set of incarnations, so that it does not matter which hosts
    report them, how often and in which order.

    Parameters
    ----------
    service : str
        Service that handles it.
    changed_ms : float
        Time of the last change, in milliseconds.
    crashes : dict of str to Crash
        Servers that ended under it since its last complete run, by incarnation.
    completed_ms : float
        End of its last complete run, or its release by an operator, in milliseconds.
    trials_ms : dict of Trial to float
        When trials were granted since then, in milliseconds.
    revision, published_revision : int
        Revision of its last change, and of the last one that was published; 0 for one
        that was never published.
    """

    service: str
    changed_ms: float
    crashes: dict[str, Crash] = attrs.field(factory=dict)
    completed_ms: float = -math.inf
    trials_ms: dict[Trial, float] = attrs.field(factory=dict)
    revision: int = 0
    published_revision: int = 0

    @property
    def completed_lately(self) -> bool:
        """Whether it completed a run shortly before the servers ended."""
        first_sent_ms = min((c.sent_ms for c in self.crashes.values()), default=0.0)
        return first_sent_ms - self.completed_ms <= RECENT_RUN_MS

    @property
    def was_sound(self) -> bool:
        """Whether it ever completed a run."""
        return math.isfinite(self.completed_ms)

    @property
    def last_ended_ms(self) -> float:
        """When the last server ended, in milliseconds."""
        return max((c.ended_ms for c in self.crashes.values()), default=-math.inf)

    def add_crash(self, incarnation: str, crash: Crash) -> bool:
        """Add a server that ended; return whether it counts and was not known."""
        if crash.sent_ms < self.completed_ms:
            return False
        known = self.crashes.get(incarnation)
        if known is not None:
            # The last request that the server took is the one that counts.
            self.crashes[incarnation] = attrs.evolve(
                known,
                sent_ms=max(known.sent_ms, crash.sent_ms),
                ended_ms=max(known.ended_ms, crash.ended_ms),
            )
            return False
        self.crashes[incarnation] = crash
        while len(self.crashes) > MAX_CRASHES:
            oldest = min(self.crashes, key=lambda key: self.crashes[key].ended_ms)
            del self.crashes[oldest]
        return incarnation in self.crashes

    def add_completed(self, completed_ms: float) -> bool:
        """Add a complete run; return whether it clears the request of a crash.

        A run that ends after another one was sent clears it of that one's crash: the
        request does not crash every server that runs it.
        """
        if completed_ms <= self.completed_ms:
            return False
        self.completed_ms = completed_ms
        cleared = [k for k, c in self.crashes.items() if c.sent_ms < completed_ms]
        for incarnation in cleared:
            del self.crashes[incarnation]
        for trial in [t for t, ms in self.trials_ms.items() if ms <= completed_ms]:
            del self.trials_ms[trial]
        return bool(cleared)

    def crash_count(
        self, explained: Container[str] = (), among: Container[str] | None = None
    ) -> int:
        """Return the crashes that speak against the request.

        For one that completed a run lately, crashes count only one after the other:
        each under a run that was sent after the one before.

        Parameters
        ----------
        explained : container of str
            Incarnations that another request has crashed.
        among : container of str or None, default=None
            Incarnations that count; all if None.
        """
        counted = (
            crash
            for key, crash in self.crashes.items()
            if key not in explained and (among is None or key in among)
        )
        crashes = sorted(counted, key=lambda crash: crash.ended_ms)
        if not self.completed_lately:
            return len(crashes)
        count, last_ended_ms = 0, -math.inf
        for crash in crashes:
            if crash.sent_ms >= last_ended_ms:
                count += 1
                last_ended_ms = crash.ended_ms
        return count

    def notice(self, now_ms: float) -> SuspectNotice:
        """Return the evidence with its ages at a time."""
        return SuspectNotice(
            self.service,
            {
                incarnation: CrashNotice(
                    now_ms - crash.sent_ms, now_ms - crash.ended_ms, crash.version
                )
                for incarnation, crash in self.crashes.items()
            },
            _age_ms(self.completed_ms, now_ms),
            {trial.value: now_ms - ms for trial, ms in self.trials_ms.items()},
        )

    def merge(self, notice: SuspectNotice, now_ms: float) -> bool:
        """Add the evidence of another host; return whether any of it is new."""
        changed = False
        if notice.completed_age_ms is not None:
            changed |= self.add_completed(now_ms - notice.completed_age_ms)
        for incarnation, crash in notice.crashes.items():
            changed |= self.add_crash(
                incarnation,
                Crash(
                    now_ms - crash.sent_age_ms,
                    now_ms - crash.ended_age_ms,
                    crash.version,
                ),
            )
        for trial in Trial:
            age_ms = notice.trial_ages_ms.get(trial.value)
            if age_ms is None or trial in self.trials_ms:
                continue
            if now_ms - age_ms > self.completed_ms:
                self.trials_ms[trial] = now_ms - age_ms
                changed = True
        return changed


def is_valid_notice(notice: SuspectNotice) -> bool:
    """Return whether all ages are finite and not negative."""
    ages = [notice.completed_age_ms, *notice.trial_ages_ms.values()]
    for crash in notice.crashes.values():
        ages += [crash.sent_age_ms, crash.ended_age_ms]
    return all(age is None or (math.isfinite(age) and age >= 0) for age in ages)


def _age_ms(time_ms: float | None, now_ms: float) -> float | None:
    if time_ms is None or not math.isfinite(time_ms):
        return None
    return now_ms - time_ms
