"""Tells the leader at once what this host learns of requests that crash servers."""

import asyncio

from bulrushlead.fleet import LeaderSession
from bulrushlead.logs import Event, EventLogger
from bulrushlead.quarantine import (
    CrashObserver,
    SuspectReport,
    Trial,
    TrialReply,
    TrialRequest,
)
from bulrushlead.results import BulrushleadError

CALL_TIMEOUT_MS = 500  # later the next sync request has told the leader


class EvidenceLink:
    """Calls the leader on behalf of a ``CrashObserver``.

    The sync requests carry the same evidence until the leader has it, so that a call
    that fails is not repeated.

    Parameters
    ----------
    host_id : str
        Name of this host.
    session : LeaderSession
        Finds the leader.
    observer : CrashObserver
        What this host learned.
    """

    def __init__(self, host_id: str, session: LeaderSession, observer: CrashObserver):
        self.host_id = host_id
        self.session = session
        self.observer = observer
        self._task: asyncio.Task | None = None
        self._is_due = False
        self._log = EventLogger("quarantine")

    def send_soon(self) -> None:
        """Send new evidence, after the call in progress if there is one."""
        self._is_due = True
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._send())

    async def close(self) -> None:
        """Stop sending."""
        self._is_due = False
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def request_trial(self, fingerprint: str) -> Trial | None:
        """Ask the leader for leave to send a quarantined request once."""
        request = TrialRequest(self.host_id, fingerprint)
        try:
            reply: TrialReply = await self.session.call_leader(request, CALL_TIMEOUT_MS)
            trial = Trial(reply.trial) if reply.trial else None
        except (BulrushleadError, ValueError):
            # A lost reply may have granted the trial, which then is not used.
            return None
        if trial is not None:
            self.observer.table.record_trial(fingerprint, trial)
        return trial

    async def _send(self) -> None:
        while self._is_due:
            self._is_due = False
            suspects = self.observer.undelivered(self.session.view.position.epoch)
            if not suspects:
                continue
            try:
                await self.session.call_leader(
                    SuspectReport(self.host_id, suspects), CALL_TIMEOUT_MS
                )
            except BulrushleadError:
                return
            except Exception as error:
                self._log.write(Event.UNEXPECTED_ERROR, error=repr(error))
                return
