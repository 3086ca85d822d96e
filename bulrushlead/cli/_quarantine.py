"""Commands on requests that are refused because servers ended under them."""

from bulrushlead.cli._output import print_json, print_table
from bulrushlead.cli._query import call_leader
from bulrushlead.cli._run import run_async
from bulrushlead.quarantine import ListQuarantine, ReleaseRequest, SuspectNotice


def quarantine(*, control: list[str], json: bool = False) -> int:
    """List the requests that hosts refuse because backend servers ended under them.

    Parameters
    ----------
    control : list[str]
        Peer addresses (IP:port) of the coordinators.
    json : bool
        Print JSON.
    """

    async def operation() -> int:
        reply = await call_leader(control, ListQuarantine())
        if json:
            print_json(reply)
            return 0
        print(f"{len(reply.requests)} request(s) refused")
        print_table(
            ["fingerprint", "service", "servers ended", "last, s ago", "trials"],
            [_row(f, notice) for f, notice in reply.requests.items()],
        )
        return 0

    return run_async(operation())


def release_request(fingerprint: str, *, control: list[str]) -> int:
    """Let hosts send a refused request again.

    Hosts refuse it again after three more backend servers have ended under it.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the request, as the quarantine command lists it.
    control : list[str]
        Peer addresses (IP:port) of the coordinators.
    """

    async def operation() -> int:
        await call_leader(control, ReleaseRequest(fingerprint))
        print(f"request {fingerprint} is released")
        return 0

    return run_async(operation())


def _row(fingerprint: str, notice: SuspectNotice) -> tuple:
    ages_ms = [crash.ended_age_ms for crash in notice.crashes.values()]
    return (
        fingerprint,
        notice.service,
        " ".join(sorted(notice.crashes)),
        f"{min(ages_ms, default=0.0) / 1_000.0:.0f}",
        " ".join(sorted(notice.trial_ages_ms)) or "none",
    )
