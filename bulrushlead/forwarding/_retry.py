"""When and how often a failed attempt is tried again elsewhere."""

from collections.abc import Awaitable, Callable

from bulrushlead.backend import BackendServer
from bulrushlead.clock import Clock
from bulrushlead.forwarding._model import (
    REPEATABLE_METHODS,
    ForwardAnswer,
    ForwardError,
    ForwardRequest,
)
from bulrushlead.logs import Event, EventLogger
from bulrushlead.results import Ran, ResultCode

DEFAULT_RATIO = 0.1
DEFAULT_BURST = 10.0
DEFAULT_MAX_ATTEMPTS = 3

# Another server would bring the same result.
SAME_EVERYWHERE = frozenset(
    {
        ResultCode.BAD_REQUEST,
        ResultCode.BODY_TOO_LARGE,
        ResultCode.ANSWER_TOO_LARGE,
        ResultCode.DEADLINE_TOO_SHORT,
        ResultCode.DEADLINE_EXPIRED,
        ResultCode.STOPPING,
    }
)

Pick = Callable[[frozenset[str]], BackendServer | None]
Send = Callable[[BackendServer, ForwardRequest], Awaitable[ForwardAnswer]]


class RetryBudget:
    """Allows retries in proportion to first attempts.

    Parameters
    ----------
    ratio : float, default=0.1
        Retries earned by each request.
    burst : float, default=10.0
        Most retries saved up; also what is there at the beginning.
    """

    def __init__(self, ratio: float = DEFAULT_RATIO, burst: float = DEFAULT_BURST):
        self.ratio = ratio
        self.burst = burst
        self._saved = burst

    def note_request(self) -> None:
        """Earn the share of one request."""
        self._saved = min(self.burst, self._saved + self.ratio)

    def try_spend(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


def is_retryable(request: ForwardRequest, error: ForwardError) -> bool:
    """Return whether sending ``request`` again is safe and can help.

    Parameters
    ----------
    request : ForwardRequest
        What was sent.
    error : ForwardError
        How the attempt failed.
    """
    if error.code in SAME_EVERYWHERE:
        return False
    if error.ran is Ran.NO:
        return True
    return request.repeatable and request.method in REPEATABLE_METHODS


class RetryLoop:
    """Tries a request at one server after another.

    Parameters
    ----------
    send : callable
        Makes one attempt, for example `Forwarder.forward`.
    budget : RetryBudget
        Bounds the retries of all requests together.
    clock : Clock
        Source of time.
    max_attempts : int, default=3
        Most attempts at one request.
    """

    def __init__(
        self,
        send: Send,
        budget: RetryBudget,
        clock: Clock,
        max_attempts: int = DEFAULT_MAX_ATTEMPTS,
    ):
        self.send = send
        self.budget = budget
        self.clock = clock
        self.max_attempts = max_attempts
        self._log = EventLogger("forwarding")

    async def run(
        self, server: BackendServer, request: ForwardRequest, pick: Pick
    ) -> ForwardAnswer:
        """Send ``request`` to ``server``, then to others while that is safe.

        Parameters
        ----------
        server : BackendServer
            Where the first attempt goes.
        request : ForwardRequest
            What to send.
        pick : callable
            Takes the names of the servers tried and returns another server, or
            None if there is none.

        Returns
        -------
        ForwardAnswer
            The first complete answer.

        Raises
        ------
        ForwardError
            The error of the last attempt; ``ran`` is ``Ran.NO`` only if no
            attempt can have run.
        """
        self.budget.note_request()
        tried: frozenset[str] = frozenset()
        may_have_run = False
        while True:
            tried |= {server.name}
            try:
                return await self.send(server, request)
            except ForwardError as error:
                may_have_run |= error.ran is not Ran.NO
                server = self._next_server(request, error, tried, pick)
                if server is None:
                    raise _combined(error, may_have_run) from error

    def _next_server(
        self,
        request: ForwardRequest,
        error: ForwardError,
        tried: frozenset[str],
        pick: Pick,
    ) -> BackendServer | None:
        if not is_retryable(request, error) or len(tried) >= self.max_attempts:
            return None
        if self.clock.now_ms() >= request.deadline_ms:
            return None
        server = pick(tried)
        if server is None or server.name in tried or not self.budget.try_spend():
            return None
        self._log.write(
            Event.RETRY_CHOSEN,
            server=server.name,
            after_code=error.code.value,
            attempt=len(tried) + 1,
        )
        return server


def _combined(error: ForwardError, may_have_run: bool) -> ForwardError:
    if may_have_run and error.ran is Ran.NO:
        return ForwardError(error.code, error.detail, Ran.UNKNOWN)
    return error
