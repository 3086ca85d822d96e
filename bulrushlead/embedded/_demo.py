"""Sends sample requests through an embedded deployment."""

import sys

import aiohttp

from bulrushlead.embedded._deployment import Deployment
from bulrushlead.embedded._plan import DeploymentPlan
from bulrushlead.logs import LogFormat, build_handler
from bulrushlead.settings import LogSettings

DEMO_REQUESTS = 6
WRONG_ANSWER_EXIT_CODE = 1


async def show_demo(deployment: Deployment) -> None:
    """Print the addresses, send sample requests, and print commands to try."""
    entry = _first_address(deployment)
    print(f"operators:   {' '.join(deployment.operator_addresses)}")
    for name, address in deployment.entry_addresses.items():
        print(f"entry host:  {name} {address}")
    wrong = await send_requests(deployment, DEMO_REQUESTS, show=True)
    print(f"{DEMO_REQUESTS - wrong} of {DEMO_REQUESTS} answers were correct")
    print("try:")
    print(f"  curl 'http://{entry}/v1/lookup?service=orders'")
    print(f"  curl 'http://{entry}/v1/services/orders/stock/barley'")
    print(f"  curl 'http://{entry}/metrics'")
    print("stop with Ctrl-C", flush=True)


async def run_requests(count: int, data_folder: str, log: LogSettings) -> int:
    """Start a deployment, send requests, check every answer, and stop the deployment.

    Parameters
    ----------
    count : int
        Number of requests to send.
    data_folder : str
        Parent folder of the control hosts' data folders; a temporary one if empty.
    log : LogSettings
        Format and level of the log.

    Returns
    -------
    int
        Exit code; 0 if every answer was correct.
    """
    handler = build_handler(LogFormat(log.format), sys.stderr, log.level)
    with handler.applicationbound():
        deployment = Deployment(DeploymentPlan(), data_folder)
        try:
            await deployment.start()
            wrong = await send_requests(deployment, count, show=False)
        finally:
            await deployment.close()
    print(f"{count - wrong} of {count} answers were correct")
    return WRONG_ANSWER_EXIT_CODE if wrong else 0


async def send_requests(deployment: Deployment, count: int, *, show: bool) -> int:
    """Look up an entry host for each request, send the request, and check the answer.

    Returns
    -------
    int
        Number of wrong answers.
    """
    wrong = 0
    first = _first_address(deployment)
    services = [plan.service.name for plan in deployment.plan.services]
    async with aiohttp.ClientSession() as session:
        for number in range(count):
            service = services[number % len(services)]
            entry = await _look_up(session, first, service)
            path = f"/item/{number}"
            key = f"tour-{number}" if number % 3 == 2 else None
            correct, line = await _send(session, entry, service, path, key)
            wrong += not correct
            if show:
                print(line)
    return wrong


def _first_address(deployment: Deployment) -> str:
    return next(iter(deployment.entry_addresses.values()))


async def _look_up(session: aiohttp.ClientSession, entry: str, service: str) -> str:
    url = f"http://{entry}/v1/lookup"
    async with session.get(url, params={"service": service}) as response:
        answer = await response.json()
    return answer["hosts"][0]["address"]


async def _send(
    session: aiohttp.ClientSession,
    entry: str,
    service: str,
    path: str,
    key: str | None,
) -> tuple[bool, str]:
    method = "POST" if key else "GET"
    headers = {"Idempotency-Key": key} if key else {}
    url = f"http://{entry}/v1/services/{service}{path}"
    async with session.request(method, url, headers=headers) as response:
        answer = await response.json()
    correct = (
        response.status == 200
        and answer.get("path") == path
        and answer.get("key") == key
        and answer.get("server", "").startswith(service)
    )
    server_or_code = answer.get("server", answer.get("name"))
    return (
        correct,
        f"{method} {service}{path} by {entry} -> {response.status} {server_or_code}",
    )
