"""What one host saw of its requests, and what it may still send."""

import math
from collections.abc import Callable
from enum import Enum

import attrs

from bulrushlead.clock import Clock
from bulrushlead.logs import Event, EventLogger
from bulrushlead.quarantine._messages import SuspectNotice
from bulrushlead.quarantine._suspect import QUARANTINE_CRASHES, Crash
from bulrushlead.quarantine._table import SuspectTable

MAX_REMEMBERED_RUNS = 4_096  # requests whose last complete run is remembered
MAX_UNSETTLED_RUNS = 2_000
# A server that has gone silent misses several heartbeats before the leader says so.
UNSETTLED_MS = 10_000
MIN_MEMORY_MS = 30_000  # in which a host has seen the requests that come often
# A run that is in progress may settle what is known of the same request by then.
RUNNING_RETRY_AFTER_MS = 300
# From here on a request is sent to one server at a time, and is not retried: another
# crash would quarantine it.
CAUTIOUS_CRASHES = QUARANTINE_CRASHES - 1


class RunEnd(Enum):
    """How a run of a request ended, as far as the host knows."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    LOST = "lost"  # the connection ended before the answer
    UNANSWERED = "unanswered"  # the host stopped waiting


@attrs.frozen(eq=False)
class Run:
    """A request that was sent to a server.

    Parameters
    ----------
    fingerprint, service : str
        The request and its service.
    server_id, version : str
        Identity and software version of the server.
    born_ms : int
        Incarnation of the server.
    sent_ms : float
        When it was sent, in milliseconds.
    """

    fingerprint: str
    service: str
    server_id: str
    born_ms: int
    version: str
    sent_ms: float

    @property
    def incarnation(self) -> str:
        """Identity and start of the server."""
        return incarnation_of(self.server_id, self.born_ms)


@attrs.frozen
class Hold:
    """Why a request is not sent now.

    Parameters
    ----------
    retry_after_ms : float
        Time after which it may be sent, in milliseconds.
    detail : str
        Explanation, with values.
    """

    retry_after_ms: float
    detail: str


@attrs.frozen(eq=False)
class _Unsettled:
    run: Run
    end: RunEnd
    ended_ms: float


class CrashObserver:
    """Learns from the runs of this host's requests which of them crash servers.

    Each request in progress at a server that ends is a suspect. Most of them are sound,
    so that one complete run clears a request.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    table : SuspectTable
        What this host and, through the leader, all others know.
    on_evidence : callable or None
        Called when the leader should hear of new evidence at once.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.table = SuspectTable(clock)
        self.on_evidence: Callable[[], None] | None = None
        self._completed_ms: dict[str, float] = {}
        self._running: dict[str, set[Run]] = {}
        self._unsettled: dict[str, list[_Unsettled]] = {}  # by incarnation
        self._unsettled_count = 0
        self._lost_at: dict[str, set[str]] = {}  # incarnations by fingerprint
        self._delivered: dict[str, tuple[str, int]] = {}
        self._reported: dict[str, int] | None = None
        self._started_ms = clock.now_ms()
        # Incarnations of the crashes that the leader has published, by fingerprint.
        self._published: dict[str, frozenset[str]] = {}
        self._log = EventLogger("quarantine")

    def hold(self, fingerprint: str) -> Hold | None:
        """Return why a request may not be sent now, or None if it may."""
        if fingerprint not in self.table or not self._may_refuse(fingerprint):
            return None
        count = self.table.crash_count(fingerprint)
        if count >= QUARANTINE_CRASHES:
            self.table.record_refused(fingerprint)
            return Hold(
                self.table.retry_after_ms(fingerprint),
                f"{count} servers have ended under request {fingerprint}",
            )
        if (
            count >= CAUTIOUS_CRASHES
            and self._running.get(fingerprint)
            and not self.table.completed_lately(fingerprint)
        ):
            return Hold(
                RUNNING_RETRY_AFTER_MS,
                f"{count} servers have ended under request {fingerprint}, and it is "
                "being sent to another one",
            )
        return None

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a server has, or may have, ended under a request."""
        return self._suspicion(fingerprint) > 0

    def may_repeat(self, fingerprint: str) -> bool:
        """Return whether a request may be sent to one more server.

        Servers that lost it and may have ended count like those that are known to.
        """
        return self._suspicion(fingerprint) < CAUTIOUS_CRASHES

    def may_pass_on(self, fingerprint: str) -> bool:
        """Return whether another host may send a request that no server has got.

        Only servers that are known to have ended count. A host that is cut off from all
        servers cannot tell which of those that lost the request have ended.
        """
        return self.table.crash_count(fingerprint) < CAUTIOUS_CRASHES

    def awaits_checks(self, fingerprint: str) -> bool:
        """Return whether a request may not be repeated until checks have ended."""
        return self.table.crash_count(fingerprint) < CAUTIOUS_CRASHES and (
            not self.may_repeat(fingerprint)
        )

    def begin(self, run: Run) -> None:
        """Record that a request is sent."""
        self._running.setdefault(run.fingerprint, set()).add(run)

    def end(self, run: Run, end: RunEnd) -> None:
        """Record how a run has ended; only its first end counts."""
        runs = self._running.get(run.fingerprint)
        if runs is None or run not in runs:
            return
        runs.discard(run)
        if not runs:
            del self._running[run.fingerprint]
        if end is RunEnd.COMPLETED:
            self._record_completed(run)
        elif end is not RunEnd.NOT_RUN:
            self._add_unsettled(_Unsettled(run, end, self.clock.now_ms()))

    def record_answer(self, server_id: str, born_ms: int, sent_ms: float) -> None:
        """Record an answer of a server, which therefore has not ended before.

        Parameters
        ----------
        server_id : str
            Identity of the server.
        born_ms : int
            Its incarnation.
        sent_ms : float
            When the request that it answered was sent, in milliseconds.
        """
        incarnation = incarnation_of(server_id, born_ms)
        if incarnation in self._unsettled:
            self._settle(incarnation, lambda lost: lost.ended_ms > sent_ms)

    def record_running(self, server_id: str, born_ms: int) -> None:
        """Record that a server runs: what was lost there was only a connection."""
        incarnation = incarnation_of(server_id, born_ms)
        if incarnation in self._unsettled:
            self._settle(incarnation, lambda lost: lost.end is not RunEnd.LOST)

    def record_ended(self, server_id: str, born_ms: int) -> None:
        """Record that a server has ended, with the requests that were lost there."""
        incarnation = incarnation_of(server_id, born_ms)
        changed = False
        for lost in self._unsettled.get(incarnation, ()):
            changed |= self._record_crash(lost, incarnation)
        self._settle(incarnation, lambda lost: False)
        if changed:
            self._notify()

    def review(self, has_ended: Callable[[str, int], bool]) -> None:
        """Settle what can be settled by the fleet view; forget what is old.

        Parameters
        ----------
        has_ended : callable
            Returns whether an incarnation of a server, by identity and start, is gone
            or silent.
        """
        oldest_ms = self.clock.now_ms() - UNSETTLED_MS
        for incarnation, runs in list(self._unsettled.items()):
            run = runs[0].run
            if has_ended(run.server_id, run.born_ms):
                self.record_ended(run.server_id, run.born_ms)
            else:
                self._settle(incarnation, lambda lost: lost.ended_ms > oldest_ms)
        self.table.expire()

    def undelivered(self, epoch: str) -> dict[str, SuspectNotice]:
        """Return the evidence that a leader does not have yet.

        Parameters
        ----------
        epoch : str
            Epoch of the leader whose state this host has.
        """
        due = [
            fingerprint
            for fingerprint, revision in self.table.revisions()
            if self._delivered.get(fingerprint) != (epoch, revision)
        ]
        return self.table.notices(due)

    def report(self, epoch: str) -> dict[str, SuspectNotice]:
        """Return the same, for a report that the next call of ``apply`` confirms."""
        suspects = self.undelivered(epoch)
        reported = {f: self.table.revision_of(f) for f in suspects}
        if self._reported is not None:
            # Several reports may be on their way; a reply confirms what all contain.
            reported = dict(reported.items() & self._reported.items())
        self._reported = reported
        return suspects

    def apply(self, epoch: str, notices: dict[str, SuspectNotice]) -> None:
        """Apply what a leader published in its reply to the last report."""
        for fingerprint, revision in (self._reported or {}).items():
            self._delivered[fingerprint] = (epoch, revision)
        self._reported = None
        if len(self._delivered) > 2 * len(self.table):
            self._delivered = {
                f: sent for f, sent in self._delivered.items() if f in self.table
            }
        self._published = {
            f: crashes for f, crashes in self._published.items() if f in self.table
        }
        for fingerprint, notice in notices.items():
            self._published[fingerprint] = frozenset(notice.crashes)
        for fingerprint in self.table.merge(notices):
            completed_ms = self._completed_ms.get(fingerprint, -math.inf)
            if self.table.record_completed(fingerprint, completed_ms):
                self._notify()

    def _may_refuse(self, fingerprint: str) -> bool:
        """Return whether this host knows enough to refuse a request.

        One that has just started remembers no complete runs. It may refuse what the
        leader has published, and so what all hosts could clear. Later crashes under a
        request that completed runs lately may be explained by what other hosts sent.
        """
        if self.clock.now_ms() - self._started_ms >= MIN_MEMORY_MS:
            return True
        published = self._published.get(fingerprint)
        if published is None:
            return False
        return (
            not self.table.completed_lately(fingerprint)
            or self.table.crash_count(fingerprint, published) >= QUARANTINE_CRASHES
        )

    def _notify(self) -> None:
        if self.on_evidence is not None:
            self.on_evidence()

    def _suspicion(self, fingerprint: str) -> int:
        lost_at = self._lost_at.get(fingerprint, ())
        return self.table.crash_count(fingerprint) + len(lost_at)

    def _record_completed(self, run: Run) -> None:
        now_ms = self.clock.now_ms()
        self._completed_ms.pop(run.fingerprint, None)
        self._completed_ms[run.fingerprint] = now_ms
        if len(self._completed_ms) > MAX_REMEMBERED_RUNS:
            del self._completed_ms[next(iter(self._completed_ms))]
        if run.fingerprint in self.table and self.table.record_completed(
            run.fingerprint, now_ms
        ):
            self._notify()

    def _record_crash(self, lost: _Unsettled, incarnation: str) -> bool:
        run = lost.run
        counts = self.table.record_crash(
            run.fingerprint,
            run.service,
            incarnation,
            Crash(run.sent_ms, lost.ended_ms, run.version),
            self._completed_ms.get(run.fingerprint, -math.inf),
        )
        if counts:
            self._log.write(
                Event.REQUEST_SUSPECTED,
                fingerprint=run.fingerprint,
                service=run.service,
                server_id=run.server_id,
                born_ms=run.born_ms,
                sent_age_ms=round(self.clock.now_ms() - run.sent_ms),
                crashes=self.table.crash_count(run.fingerprint),
            )
        return counts

    def _add_unsettled(self, lost: _Unsettled) -> None:
        # Callers that give up must not hide the runs that were lost in a crash.
        is_lost = lost.end is RunEnd.LOST
        limit = MAX_UNSETTLED_RUNS if is_lost else MAX_UNSETTLED_RUNS // 2
        if self._unsettled_count >= limit:
            return
        run = lost.run
        self._unsettled.setdefault(run.incarnation, []).append(lost)
        self._unsettled_count += 1
        if is_lost:
            self._lost_at.setdefault(run.fingerprint, set()).add(run.incarnation)

    def _settle(self, incarnation: str, keeps: Callable[[_Unsettled], bool]) -> None:
        """Forget the runs at an incarnation, except those to keep."""
        runs = self._unsettled.pop(incarnation, [])
        kept = [lost for lost in runs if keeps(lost)]
        self._unsettled_count -= len(runs) - len(kept)
        for lost in runs:
            lost_at = self._lost_at.get(lost.run.fingerprint)
            if lost_at is not None and lost not in kept:
                lost_at.discard(incarnation)
                if not lost_at:
                    del self._lost_at[lost.run.fingerprint]
        if kept:
            self._unsettled[incarnation] = kept


def incarnation_of(server_id: str, born_ms: int) -> str:
    """Return the name of one incarnation of a server."""
    return f"{server_id}@{born_ms}"
