"""Operators' commands that change and show the declaration."""

import getpass
import os
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from bulrushlead.cli._output import print_json, print_table
from bulrushlead.cli._run import run_async
from bulrushlead.clock import MonotonicClock
from bulrushlead.declaration import dump_declaration, load_declaration
from bulrushlead.operators import (
    ClusterStatus,
    Credentials,
    OperatorClient,
    new_request_id,
)
from bulrushlead.results import CODES, BulrushleadError, ResultCode

CONTROL_VARIABLE = "BULRUSHLEAD_CONTROL"
KEYS_VARIABLE = "BULRUSHLEAD_KEYS"
NOT_IN_FORCE_EXIT_CODE = CODES[ResultCode.PEER_TIMEOUT].exit_code

T = TypeVar("T")


def apply(
    file: str,
    *,
    control: Sequence[str] = (),
    expected_revision: int = -1,
    request_id: str = "",
    force: bool = False,
    wait: bool = False,
    wait_ms: int = 15_000,
    json: bool = False,
) -> int:
    """Apply a declaration to the deployment.

    Parameters
    ----------
    file : str
        TOML file with the complete declaration.
    control : Sequence[str]
        Operator addresses (IP:port) of the control hosts; by default those in the
        environment variable BULRUSHLEAD_CONTROL, separated by spaces.
    expected_revision : int
        Revision on which the change is based; -1 uses the accepted revision, without
        protection against overwriting other operators' changes.
    request_id : str
        Identifier of the change. To retry a change whose answer was lost, pass the
        same identifier and the same expected revision.
    force : bool
        Apply despite the risks that diff prints.
    wait : bool
        Wait until the change is in force on every host.
    wait_ms : int
        Maximum time to wait, in milliseconds.
    json : bool
        Print JSON.
    """
    if request_id and expected_revision < 0:
        raise BulrushleadError(
            ResultCode.USAGE,
            "--request-id goes with --expected-revision; give both as in the first "
            "sending, which printed them",
        )
    declaration = load_declaration(file)

    async def operation(client: OperatorClient) -> int:
        revision = expected_revision
        if revision < 0:
            revision = (await client.export()).revision
        change_id = request_id or new_request_id()
        reply = await client.apply(
            declaration, revision, change_id, force, author=_author()
        )
        if not json:
            print(
                f"revision {reply.revision} accepted (request {change_id}, "
                f"expected revision {revision})"
            )
        if not wait:
            if json:
                print_json(reply)
            return 0
        status = await client.wait_in_force(reply.revision, wait_ms)
        behind = status.hosts_behind(reply.revision)
        if json:
            print_json(status)
        elif behind:
            print(f"not yet in force on: {', '.join(behind)}")
        else:
            print(f"revision {reply.revision} is in force everywhere")
        return NOT_IN_FORCE_EXIT_CODE if behind else 0

    return _with_client(control, operation)


def diff(file: str, *, control: Sequence[str] = (), json: bool = False) -> int:
    """Show the changes and the risks of a declaration without applying it.

    Parameters
    ----------
    file : str
        TOML file with the complete declaration.
    control : Sequence[str]
        Operator addresses (IP:port) of the control hosts.
    json : bool
        Print JSON.
    """
    declaration = load_declaration(file)

    async def operation(client: OperatorClient) -> int:
        proposed = await client.diff(declaration)
        if json:
            print_json(proposed)
            return 0
        print(f"against revision {proposed.revision}:")
        print(proposed.difference)
        for risk in proposed.risks:
            print(f"risk (needs --force): {risk}")
        return 0

    return _with_client(control, operation)


def export(*, control: Sequence[str] = ()) -> int:
    """Print the accepted declaration as TOML.

    Parameters
    ----------
    control : Sequence[str]
        Operator addresses (IP:port) of the control hosts.
    """

    async def operation(client: OperatorClient) -> int:
        accepted = await client.export()
        print(f"# revision {accepted.revision}")
        print(dump_declaration(accepted.declaration), end="")
        return 0

    return _with_client(control, operation)


def status(*, control: Sequence[str] = (), json: bool = False) -> int:
    """Show the revision, the lease and the connection of each host.

    Parameters
    ----------
    control : Sequence[str]
        Operator addresses (IP:port) of the control hosts.
    json : bool
        Print JSON.
    """

    async def operation(client: OperatorClient) -> int:
        cluster = await client.status()
        if json:
            print_json(cluster)
        else:
            _print_status(cluster)
        return 0

    return _with_client(control, operation)


def history(*, limit: int = 20, control: Sequence[str] = (), json: bool = False) -> int:
    """Show the latest accepted changes, newest first.

    Parameters
    ----------
    limit : int
        Maximum number of changes to show; 0 shows all that are stored.
    control : Sequence[str]
        Operator addresses (IP:port) of the control hosts.
    json : bool
        Print JSON.
    """

    async def operation(client: OperatorClient) -> int:
        entries = await client.history(limit)
        if json:
            print_json(entries)
            return 0
        for entry in entries:
            _print_change(entry)
        return 0

    return _with_client(control, operation)


def watch(*, after_revision: int = 0, control: Sequence[str] = ()) -> int:
    """Print each change when it is accepted, until interrupted.

    Parameters
    ----------
    after_revision : int
        Print only changes with a higher revision; those already in the history
        come first.
    control : Sequence[str]
        Operator addresses (IP:port) of the control hosts.
    """

    async def operation(client: OperatorClient) -> int:
        async for entry in client.watch(after_revision):
            _print_change(entry)
        return 0

    return _with_client(control, operation)


def control_addresses(control: Sequence[str]) -> tuple[str, ...]:
    """Return the control hosts' addresses from the flag or the environment.

    Raises
    ------
    BulrushleadError
        ``USAGE`` if neither the flag nor BULRUSHLEAD_CONTROL names an address.
    """
    addresses = tuple(control or os.environ.get(CONTROL_VARIABLE, "").split())
    if not addresses:
        raise BulrushleadError(
            ResultCode.USAGE,
            "no control host is named; give --control IP:port, or set "
            f"{CONTROL_VARIABLE} to one or more, separated by spaces",
        )
    return addresses


def _with_client(
    control: Sequence[str], operation: Callable[[OperatorClient], Awaitable[T]]
) -> T:
    addresses = control_addresses(control)

    async def run() -> T:
        client = OperatorClient(addresses, MonotonicClock(), _credentials())
        try:
            return await operation(client)
        finally:
            await client.close()

    return run_async(run())


def _credentials() -> Credentials | None:
    paths = os.environ.get(KEYS_VARIABLE, "").split(":")
    if paths == [""]:
        return None
    if len(paths) != 3:
        raise BulrushleadError(
            ResultCode.USAGE,
            f"{KEYS_VARIABLE} must be KEY:CERTIFICATE:AUTHORITY, three PEM files",
        )
    return Credentials(*paths)


def _author() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


def _print_status(cluster: ClusterStatus) -> None:
    print(f"revision {cluster.revision}, leader {cluster.leader}, term {cluster.term}")
    print_table(
        ["host", "role", "in force", "lease left (ms)", "connected"],
        [
            (
                host.name,
                host.role.value,
                host.in_force_revision,
                round(host.lease_remaining_ms),
                "yes" if host.connected else "no",
            )
            for host in cluster.hosts
        ],
    )
    behind = cluster.hosts_behind(cluster.revision)
    if behind:
        print(f"not yet in force on: {', '.join(behind)}")


def _print_change(entry) -> None:
    forced = " (forced)" if entry.force else ""
    print(f"revision {entry.revision} by {entry.author or 'unknown'}{forced}")
    for line in entry.summary:
        print(f"  {line}")
