"""Commands that query entry hosts and manage idempotency keys."""

import aiohttp

from bulrushlead.cli._output import print_json, print_table
from bulrushlead.cli._run import new_rng, run_async
from bulrushlead.clock import MonotonicClock
from bulrushlead.distribution import LeaderClient
from bulrushlead.keys import ForgetKeys, ListUnknownKeys, ResolveKey
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import MessageClient

CALL_TIMEOUT_MS = 5_000


def lookup(service: str, *, entry_host: str, json: bool = False) -> int:
    """Look up the entry hosts to use for a service.

    Parameters
    ----------
    service : str
        Name of the service.
    entry_host : str
        IP:port of the entry host to query.
    json : bool
        Print JSON.
    """
    return run_async(_lookup(service, entry_host, json))


def keys(
    *, control: list[str], service: str = "", limit: int = 100, json: bool = False
) -> int:
    """List idempotency keys whose outcome is unknown.

    Parameters
    ----------
    control : list[str]
        Peer addresses (IP:port) of the control hosts, not their operator addresses.
    service : str
        Service whose keys are listed; all services by default.
    limit : int
        Maximum number of keys to list.
    json : bool
        Print JSON.
    """

    async def operation() -> int:
        reply = await call_leader(control, ListUnknownKeys(service, limit))
        if json:
            print_json(reply)
            return 0
        print(f"{reply.total} key(s) with unknown outcome")
        print_table(
            ["service", "key", "attempt", "host", "note"],
            [(k.service, k.key, k.attempt_id, k.host, k.note) for k in reply.keys],
        )
        return 0

    return run_async(operation())


def resolve_key(
    service: str,
    key: str,
    attempt_id: str,
    *,
    control: list[str],
    ran: bool = False,
    note: str = "",
) -> int:
    """Record whether the request of a key with unknown outcome ran.

    Parameters
    ----------
    service : str
        Name of the service.
    key : str
        Idempotency key.
    attempt_id : str
        Identifier of the attempt, as listed by the keys command.
    control : list[str]
        Peer addresses (IP:port) of the control hosts, not their operator addresses.
    ran : bool
        Whether the request ran on the backend server.
    note : str
        Who resolved the key, and on what evidence.
    """

    async def operation() -> int:
        command = ResolveKey(key, service, attempt_id, ran, note)
        reply = await call_leader(control, command)
        if not reply.applied:
            raise BulrushleadError(
                ResultCode.NOT_FOUND,
                f"key {key!r} of service {service!r} has no unknown attempt "
                f"{attempt_id!r}; list them with the keys command",
            )
        print(f"key {key} is resolved as {'run' if ran else 'not run'}")
        return 0

    return run_async(operation())


def forget_keys(service: str, *, control: list[str], keep: int) -> int:
    """Delete the oldest spent idempotency keys of a service to free space.

    A spent key is one whose request ran and whose answer is no longer stored.

    Parameters
    ----------
    service : str
        Name of the service.
    control : list[str]
        Peer addresses (IP:port) of the control hosts, not their operator addresses.
    keep : int
        Minimum number of spent keys to keep, the most recent ones; a request sent
        again with a deleted key would run again.
    """

    async def operation() -> int:
        reply = await call_leader(control, ForgetKeys(service, keep))
        print(f"{reply.count} spent key(s) of service {service} forgotten")
        return 0

    return run_async(operation())


async def _lookup(service: str, entry_host: str, json: bool) -> int:
    url = f"http://{entry_host}/v1/lookup"
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(url, params={"service": service}) as response,
        ):
            answer = await response.json()
    except (aiohttp.ClientError, OSError, ValueError) as error:
        raise BulrushleadError(
            ResultCode.PEER_UNREACHABLE, f"entry host {entry_host}: {error}"
        ) from error
    if response.status != 200:
        raise BulrushleadError(ResultCode(answer["code"]), answer["detail"])
    if json:
        print_json(answer)
        return 0
    print(f"home region {answer['region'] or 'unknown'}, TTL {answer['ttl_ms']} ms")
    print_table(
        ["host", "address", "region", "availability zone"],
        [
            (h["name"], h["address"], h["region"], h["availability_zone"])
            for h in answer["hosts"]
        ],
    )
    return 0


async def call_leader(addresses: list[str], request: object) -> object:
    """Send a request to the leader among control hosts and return its reply."""
    clock = MonotonicClock()
    client = LeaderClient(
        addresses, clock, new_rng(), lambda address: MessageClient(address, clock)
    )
    try:
        return await client.call(request, CALL_TIMEOUT_MS)
    finally:
        await client.close()
