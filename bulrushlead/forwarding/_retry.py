"""Retries failed requests at other servers, within a budget."""

from collections.abc import Awaitable, Callable

from bulrushlead.backend import BackendServer
from bulrushlead.clock import Clock
from bulrushlead.forwarding._model import (
    RETRYABLE_METHODS,
    ForwardAnswer,
    ForwardError,
    ForwardRequest,
)
from bulrushlead.logs import Event, EventLogger
from bulrushlead.results import Ran, ResultCode

DEFAULT_RATIO = 0.1
DEFAULT_BURST = 10.0
DEFAULT_MAX_ATTEMPTS = 3

# An attempt at another server would fail in the same way.
NON_RETRYABLE_CODES = frozenset(
    {
        ResultCode.BAD_REQUEST,
        ResultCode.BODY_TOO_LARGE,
        ResultCode.ANSWER_TOO_LARGE,
        ResultCode.DEADLINE_TOO_SHORT,
        ResultCode.DEADLINE_EXPIRED,
        ResultCode.STOPPING,
    }
)

PickServer = Callable[[frozenset[str]], BackendServer | None]
SendAttempt = Callable[[BackendServer, ForwardRequest], Awaitable[ForwardAnswer]]


class RetryBudget:
    """Token bucket that limits retries to a ratio of the first attempts.

    Parameters
    ----------
    ratio : float, default=0.1
        Tokens that each request adds; a retry costs one token.
    burst : float, default=10.0
        Capacity of the bucket in tokens, which is also its initial content.
    """

    def __init__(self, ratio: float = DEFAULT_RATIO, burst: float = DEFAULT_BURST):
        self.ratio = ratio
        self.burst = burst
        self._tokens = burst

    def record_request(self) -> None:
        """Add the tokens of one first attempt."""
        self._tokens = min(self.burst, self._tokens + self.ratio)

    def try_consume(self) -> bool:
        """Consume a token for one retry; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def is_retryable(request: ForwardRequest, error: ForwardError) -> bool:
    """Return whether sending ``request`` again is safe and can help.

    Parameters
    ----------
    request : ForwardRequest
        The request that was sent.
    error : ForwardError
        Error of the attempt.
    """
    if error.code in NON_RETRYABLE_CODES:
        return False
    if error.ran is Ran.NO:
        return True
    return request.retryable and request.method in RETRYABLE_METHODS


class RetryLoop:
    """Sends a request to one server after another until one answers.

    Parameters
    ----------
    send : callable
        Sends one attempt, for example `Forwarder.forward`.
    budget : RetryBudget
        Limits the retries of all requests together.
    clock : Clock
        Source of time.
    max_attempts : int, default=3
        Maximum number of attempts at one request.
    """

    def __init__(
        self,
        send: SendAttempt,
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
        self, server: BackendServer, request: ForwardRequest, pick_server: PickServer
    ) -> ForwardAnswer:
        """Send ``request`` to ``server`` and, while retries are safe, to others.

        Parameters
        ----------
        server : BackendServer
            Server of the first attempt.
        request : ForwardRequest
            The request.
        pick_server : callable
            Returns a server that is not among the given names, or None if there
            is none.

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
        self.budget.record_request()
        tried: frozenset[str] = frozenset()
        may_have_run = False
        while True:
            tried |= {server.name}
            try:
                return await self.send(server, request)
            except ForwardError as error:
                may_have_run |= error.ran is not Ran.NO
                server = self._next_server(request, error, tried, pick_server)
                if server is None:
                    raise _combine_outcomes(error, may_have_run) from error

    def _next_server(
        self,
        request: ForwardRequest,
        error: ForwardError,
        tried: frozenset[str],
        pick_server: PickServer,
    ) -> BackendServer | None:
        if not is_retryable(request, error) or len(tried) >= self.max_attempts:
            return None
        if self.clock.now_ms() >= request.deadline_ms:
            return None
        server = pick_server(tried)
        if server is None or server.name in tried or not self.budget.try_consume():
            return None
        self._log.write(
            Event.RETRY_CHOSEN,
            server=server.name,
            after_code=error.code.value,
            attempt=len(tried) + 1,
        )
        return server


def _combine_outcomes(error: ForwardError, may_have_run: bool) -> ForwardError:
    if may_have_run and error.ran is Ran.NO:
        return ForwardError(error.code, error.detail, Ran.UNKNOWN)
    return error
