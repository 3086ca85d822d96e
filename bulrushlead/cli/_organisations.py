"""Commands on organisations."""

import getpass
import sys

from bulrushlead.cli._output import print_json, print_table
from bulrushlead.cli._query import call_leader
from bulrushlead.cli._run import run_async
from bulrushlead.organisations import FindKey, ListOrganisations, OrganisationUse
from bulrushlead.traffic import key_digest


def organisations(*, control: list[str], json: bool = False) -> int:
    """List organisations with their use and their quotas.

    Parameters
    ----------
    control : list[str]
        Peer addresses (IP:port) of the coordinators.
    json : bool
        Print JSON.
    """

    async def operation() -> int:
        reply = await call_leader(control, ListOrganisations())
        if json:
            print_json(reply)
            return 0
        print(
            f"{len(reply.organisations)} organisation(s) in plan {reply.plan_version}"
        )
        print_table(
            ["name", "requests/s", "usual", "quota/s", "burst", "admitted", "hosts"]
            + ["keys"],
            [_row(name, use) for name, use in sorted(reply.organisations.items())],
        )
        return 0

    return run_async(operation())


def key_holder(*, control: list[str]) -> int:
    """Print the organisation that holds a key, which is read from standard input.

    Only a digest of the key leaves this process.

    Parameters
    ----------
    control : list[str]
        Peer addresses (IP:port) of the coordinators.
    """
    key = getpass.getpass("Key: ") if sys.stdin.isatty() else sys.stdin.readline()

    async def operation() -> int:
        holder = await call_leader(control, FindKey(key_digest(key.strip().encode())))
        print(f"{holder.organisation} (plan {holder.plan_version})")
        return 0

    return run_async(operation())


def _row(name: str, use: OrganisationUse) -> tuple:
    return (
        name,
        f"{use.demand_per_s:.1f}",
        f"{use.usual_per_s:.1f}",
        f"{use.rate_per_s:g}" if use.rate_per_s else "no limit",
        f"{use.burst:g}",
        f"{use.fraction:.2f}",
        use.hosts,
        use.keys,
    )
