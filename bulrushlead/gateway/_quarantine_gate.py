"""Decides how a request that servers may have ended under is placed."""

from collections.abc import Awaitable, Callable

import attrs

from bulrushlead.dispatch import Dispatcher, Refusal, Work
from bulrushlead.quarantine import CrashObserver, Trial
from bulrushlead.results import ResultCode


class QuarantineGate:
    """Admits requests to placement.

    Parameters
    ----------
    observer : CrashObserver
        What is known of each request.
    dispatcher : Dispatcher
        Knows the servers of each service.

    Attributes
    ----------
    request_trial : callable or None
        Coroutine function that asks the leader for leave to send a quarantined request
        once; it returns the ``Trial``, or None.
    """

    def __init__(self, observer: CrashObserver, dispatcher: Dispatcher):
        self.observer = observer
        self.dispatcher = dispatcher
        self.request_trial: Callable[[str], Awaitable[Trial | None]] | None = None
        self._asking: set[str] = set()

    async def admit(self, fingerprint: str, work: Work) -> Work | Refusal:
        """Return how to place a request, or why it may not be sent now.

        A suspect goes to the server with the least to lose, and not to the one that
        has cached its object, where others of that object would be lost with it.
        """
        hold = self.observer.hold(fingerprint)
        if hold is None:
            if self.observer.is_suspect(fingerprint):
                return attrs.evolve(work, sticky=False)
            return work
        trial = await self._ask_for_trial(fingerprint, work.service)
        if trial is None:
            return Refusal(
                ResultCode.REQUEST_QUARANTINED, hold.retry_after_ms, hold.detail
            )
        excluded = work.excluded
        if trial is Trial.RELEASE:
            crashed = self.observer.table.crashed_versions(fingerprint)
            excluded |= {
                server.server_id
                for server in self.dispatcher.ready_servers(work.service)
                if server.version in crashed
            }
        return attrs.evolve(work, sticky=False, excluded=excluded)

    async def _ask_for_trial(self, fingerprint: str, service: str) -> Trial | None:
        versions = {s.version for s in self.dispatcher.ready_servers(service)}
        if (
            self.request_trial is None
            or fingerprint in self._asking
            or self.observer.table.due_trial(fingerprint, versions) is None
        ):
            return None
        self._asking.add(fingerprint)
        try:
            return await self.request_trial(fingerprint)
        finally:
            self._asking.discard(fingerprint)
