"""Requests under which servers have ended, as the leader and each host know them."""

from collections.abc import Container, Iterable

import attrs

from bulrushlead.clock import Clock
from bulrushlead.logs import Event, EventLogger
from bulrushlead.quarantine._messages import SuspectNotice
from bulrushlead.quarantine._suspect import (
    QUARANTINE_CRASHES,
    Crash,
    Suspect,
    Trial,
    is_valid_notice,
)

# Hosts tell each other, through the leader, of requests with this many crashes, and of
# those that completed runs before. Each crash leaves several others with a single one.
PUBLISHED_CRASHES = 2
RECHECK_AFTER_MS = 1_000  # from the last crash to the trial of one that was sound
RETAINED_MS = 60_000  # callers repeat a request within seconds
QUARANTINE_RETAINED_MS = 3_600_000  # from its last crash or the last time it came
PAUSE_MS = 60_000  # from the last crash to the only trial of any other one
_TRIAL_AFTER_MS = {Trial.RECHECK: RECHECK_AFTER_MS, Trial.PAUSE: PAUSE_MS}
MAX_SUSPECTS = 2_000
FORGOTTEN_FRACTION = 10  # a tenth at a time, since each time all are compared
# Ages that hosts report grow by the time that a report travels.
MAX_AGE_ERROR_MS = 100
MAX_NAME_LENGTH = 200  # of services, versions and incarnations in a notice


@attrs.define(eq=False)
class _ServerEnd:
    """When a server was first seen to end, and the requests that may have met it."""

    ended_ms: float
    fingerprints: set[str] = attrs.field(factory=set)


class SuspectTable:
    """Evidence on requests, and which of them are quarantined.

    Evidence merges in any order. A request is quarantined while crashes in a row show
    that it crashes the servers that run it; a complete run or an operator ends that.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    revision : int
        Revision of the newest change of any request.
    published_revision : int
        Revision of the newest change of a request of which hosts are told.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.revision = 0
        self.published_revision = 0
        self._suspects: dict[str, Suspect] = {}
        self._ends: dict[str, _ServerEnd] = {}  # by incarnation
        self._repeated: set[str] = set()  # those with PUBLISHED_CRASHES or more
        self._quarantined: set[str] = set()
        self._log = EventLogger("quarantine")

    def __contains__(self, fingerprint: str) -> bool:
        return fingerprint in self._suspects

    def __len__(self) -> int:
        return len(self._suspects)

    @property
    def quarantined(self) -> frozenset[str]:
        """Fingerprints of the requests that are quarantined."""
        return frozenset(self._quarantined)

    def crash_count(self, name: str, among: Container[str] | None = None) -> int:
        """Return the crashes that speak against a request, among some incarnations."""
        suspect = self._suspects.get(name)
        if suspect is None or not suspect.crashes:
            return 0
        return suspect.crash_count(self._explained(name, suspect), among)

    def completed_lately(self, fingerprint: str) -> bool:
        """Return whether a request completed a run shortly before its crashes."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.completed_lately

    def revision_of(self, fingerprint: str) -> int:
        """Return the revision of the last change of a request; 0 if not known."""
        suspect = self._suspects.get(fingerprint)
        return 0 if suspect is None else suspect.revision

    def record_crash(
        self,
        fingerprint: str,
        service: str,
        incarnation: str,
        crash: Crash,
        completed_ms: float,
    ) -> bool:
        """Record a server that ended under a request; return whether it counts.

        Parameters
        ----------
        fingerprint, service : str
            The request and its service.
        incarnation : str
            Identity and start of the server.
        crash : Crash
            When the request was sent and the server ended.
        completed_ms : float
            End of the last complete run that this host remembers, in milliseconds.
        """
        suspect = self._suspects.get(fingerprint)
        if not self._is_in_time(fingerprint, incarnation, crash):
            return False
        if suspect is None:
            if crash.sent_ms < completed_ms:
                return False
            suspect = self._add(fingerprint, service)
        suspect.add_completed(completed_ms)
        if not suspect.add_crash(incarnation, crash):
            return False
        self._record_change(fingerprint, suspect)
        return True

    def record_completed(self, fingerprint: str, completed_ms: float) -> bool:
        """Record a complete run; return whether it clears the request of a crash."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.add_completed(completed_ms):
            return False
        self._record_change(fingerprint, suspect)
        return True

    def record_refused(self, fingerprint: str) -> None:
        """Keep a request that still comes."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.changed_ms = self.clock.now_ms()

    def release(self, fingerprint: str) -> bool:
        """Forget what speaks against a request; return whether anything did."""
        return self.record_completed(fingerprint, self.clock.now_ms())

    def merge(self, notices: dict[str, SuspectNotice]) -> set[str]:
        """Add the evidence of another host; return the requests that it changes."""
        now_ms = self.clock.now_ms()
        changed = set()
        for fingerprint, notice in notices.items():
            if not _is_bounded(fingerprint, notice) or not is_valid_notice(notice):
                continue
            suspect = self._suspects.get(fingerprint)
            if suspect is None:
                if not notice.crashes:
                    continue
                suspect = self._add(fingerprint, notice.service)
            crashes = {
                incarnation: crash
                for incarnation, crash in notice.crashes.items()
                if self._is_in_time(
                    fingerprint,
                    incarnation,
                    Crash(now_ms - crash.sent_age_ms, now_ms - crash.ended_age_ms),
                )
            }
            if suspect.merge(attrs.evolve(notice, crashes=crashes), now_ms):
                changed.add(fingerprint)
                self._advance(fingerprint, suspect)
        # Only now, since one notice may explain the crashes of another.
        self._update_quarantine(changed)
        return changed

    def due_trial(self, fingerprint: str, versions: Iterable[str]) -> Trial | None:
        """Return why a quarantined request may be sent once, or None if it may not.

        Parameters
        ----------
        fingerprint : str
            The request.
        versions : iterable of str
            Software versions of the servers that could run it.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or self.crash_count(fingerprint) < QUARANTINE_CRASHES:
            return None
        for trial in Trial:
            if trial not in suspect.trials_ms and self._is_due(
                suspect, trial, versions
            ):
                return trial
        return None

    def retry_after_ms(self, fingerprint: str) -> float:
        """Return the milliseconds until a quarantined request may be sent again.

        After its trial only a release of the servers or an operator ends the
        quarantine, at a time that is not known.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return 0.0
        since_crash_ms = self.clock.now_ms() - suspect.last_ended_ms
        for trial, after_ms in _TRIAL_AFTER_MS.items():
            if trial in suspect.trials_ms or since_crash_ms > after_ms:
                continue
            if trial is Trial.RECHECK and not suspect.was_sound:
                continue
            return after_ms - since_crash_ms
        return PAUSE_MS

    def crashed_versions(self, fingerprint: str) -> set[str]:
        """Return the software versions of the servers that ended under a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return set()
        return {crash.version for crash in suspect.crashes.values()}

    def service(self, fingerprint: str) -> str:
        """Return the service of a request; empty if it is not known."""
        suspect = self._suspects.get(fingerprint)
        return "" if suspect is None else suspect.service

    def record_trial(self, fingerprint: str, trial: Trial) -> None:
        """Record that a host may send a quarantined request once."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.trials_ms[trial] = self.clock.now_ms()
            self._record_change(fingerprint, suspect)

    def revisions(self) -> Iterable[tuple[str, int]]:
        """Return each request with the revision of its last change."""
        return ((f, suspect.revision) for f, suspect in self._suspects.items())

    def notices(self, fingerprints: Iterable[str]) -> dict[str, SuspectNotice]:
        """Return the evidence on requests that are known."""
        now_ms = self.clock.now_ms()
        return {f: self._suspects[f].notice(now_ms) for f in fingerprints}

    def published_since(self, revision: int) -> dict[str, SuspectNotice]:
        """Return the evidence for all hosts that changed after a revision."""
        if revision >= self.published_revision:
            return {}
        return self.notices(
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if suspect.published_revision > revision
        )

    def expire(self) -> None:
        """Forget requests on which nothing was heard for a long time."""
        now_ms = self.clock.now_ms()
        for fingerprint, suspect in list(self._suspects.items()):
            is_quarantined = fingerprint in self._quarantined
            retained_ms = QUARANTINE_RETAINED_MS if is_quarantined else RETAINED_MS
            if now_ms - suspect.changed_ms > retained_ms:
                self._remove(fingerprint)

    def _add(self, fingerprint: str, service: str) -> Suspect:
        if len(self._suspects) >= MAX_SUSPECTS:
            self._make_room()
        suspect = Suspect(service, self.clock.now_ms())
        self._suspects[fingerprint] = suspect
        return suspect

    def _make_room(self) -> None:
        """Forget some suspects, those with the fewest crashes first.

        So many that were merely beside a crash cannot push out the one that causes
        them.
        """
        by_weight = sorted(
            self._suspects,
            key=lambda f: (
                len(self._suspects[f].crashes),
                self._suspects[f].changed_ms,
            ),
        )
        for fingerprint in by_weight[: MAX_SUSPECTS // FORGOTTEN_FRACTION]:
            self._remove(fingerprint)

    def _remove(self, fingerprint: str) -> None:
        del self._suspects[fingerprint]
        self._quarantined.discard(fingerprint)
        self._repeated.discard(fingerprint)

    def _is_in_time(self, fingerprint: str, incarnation: str, crash: Crash) -> bool:
        """Return whether a request was sent before its server was seen to end.

        What accepts connections in front of a server may outlive it: requests that come
        later are lost, too.
        """
        end = self._ends.get(incarnation)
        if end is None:
            end = self._ends[incarnation] = _ServerEnd(crash.ended_ms)
            if len(self._ends) > MAX_SUSPECTS:
                del self._ends[next(iter(self._ends))]
        elif crash.ended_ms < end.ended_ms:
            end.ended_ms = crash.ended_ms
            self._drop_late(incarnation, end)
        if crash.sent_ms > end.ended_ms + MAX_AGE_ERROR_MS:
            return False
        end.fingerprints.add(fingerprint)
        return True

    def _drop_late(self, incarnation: str, end: "_ServerEnd") -> None:
        """Drop what counted only while the server was thought to have ended later."""
        dropped = set()
        for fingerprint in end.fingerprints:
            suspect = self._suspects.get(fingerprint)
            crash = None if suspect is None else suspect.crashes.get(incarnation)
            if crash is not None and crash.sent_ms > end.ended_ms + MAX_AGE_ERROR_MS:
                del suspect.crashes[incarnation]
                self._advance(fingerprint, suspect)
                dropped.add(fingerprint)
        self._update_quarantine(dropped)

    def _is_due(self, suspect: Suspect, trial: Trial, versions: Iterable[str]) -> bool:
        since_crash_ms = self.clock.now_ms() - suspect.last_ended_ms
        match trial:
            case Trial.RECHECK:
                return suspect.was_sound and since_crash_ms >= RECHECK_AFTER_MS
            case Trial.PAUSE:
                return since_crash_ms >= PAUSE_MS
        crashed = {crash.version for crash in suspect.crashes.values()}
        return any(version and version not in crashed for version in versions)

    def _explained(self, fingerprint: str, suspect: Suspect) -> Container[str]:
        """Return the incarnations whose end another request explains.

        One that completed runs lately is cleared by any other one that did not and that
        crashed a second server, too.
        """
        if not suspect.completed_lately:
            return ()
        return {
            incarnation
            for name in self._repeated
            if name != fingerprint and not self._suspects[name].completed_lately
            for incarnation in self._suspects[name].crashes
        }

    def _record_change(self, fingerprint: str, suspect: Suspect) -> None:
        self._advance(fingerprint, suspect)
        self._update_quarantine({fingerprint})

    def _advance(self, fingerprint: str, suspect: Suspect) -> None:
        """Give a request that has changed its new revisions."""
        suspect.changed_ms = self.clock.now_ms()
        self.revision += 1
        suspect.revision = self.revision
        if len(suspect.crashes) >= PUBLISHED_CRASHES:
            self._repeated.add(fingerprint)
        else:
            self._repeated.discard(fingerprint)
        if (
            suspect.published_revision
            or fingerprint in self._repeated
            # Other hosts may have completed it since, and so clear it.
            or (suspect.crashes and suspect.was_sound)
        ):
            self.published_revision += 1
            suspect.published_revision = self.published_revision

    def _update_quarantine(self, changed: set[str]) -> None:
        """Update which requests are refused, after some have changed."""
        for fingerprint in changed - self._quarantined:
            if self.crash_count(fingerprint) >= QUARANTINE_CRASHES:
                self._quarantined.add(fingerprint)
                self._log_change(fingerprint, Event.REQUEST_QUARANTINED)
        for fingerprint in list(self._quarantined):
            if self.crash_count(fingerprint) < QUARANTINE_CRASHES:
                self._quarantined.discard(fingerprint)
                self._log_change(fingerprint, Event.QUARANTINE_ENDED)

    def _log_change(self, fingerprint: str, event: Event) -> None:
        suspect = self._suspects[fingerprint]
        now_ms = self.clock.now_ms()
        self._log.write(
            event,
            fingerprint=fingerprint,
            service=suspect.service,
            crash_ages_ms={
                incarnation: round(now_ms - crash.ended_ms)
                for incarnation, crash in suspect.crashes.items()
            },
        )


def _is_bounded(fingerprint: str, notice: SuspectNotice) -> bool:
    names = [fingerprint, notice.service, *notice.crashes]
    names += [crash.version for crash in notice.crashes.values()]
    return all(len(name) <= MAX_NAME_LENGTH for name in names)
