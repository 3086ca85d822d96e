"""Tests of a complete deployment through its public HTTP interface.

They detect faults in the interaction of control hosts, entry hosts and backend
servers that the tests of each part miss.
"""

import random

import aiohttp
import pytest

from bulrushlead.declaration import Service
from bulrushlead.embedded import Deployment, DeploymentPlan, ServicePlan


@pytest.fixture
async def deployment(tmp_path):
    deployment = Deployment(DeploymentPlan(), str(tmp_path), seed=1)
    await deployment.start()
    yield deployment
    await deployment.close()


async def fetch(address, path, method="GET", **options):
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, f"http://{address}{path}", **options) as response,
    ):
        return response.status, await response.json()


async def test_every_entry_host_answers_lookups_and_requests(deployment):
    for address in deployment.entry_addresses.values():
        status, answer = await fetch(address, "/v1/lookup?service=orders")
        assert status == 200
        assert answer["region"] == "casa"
        assert {h["address"] for h in answer["hosts"]} == set(
            deployment.entry_addresses.values()
        )
        status, answer = await fetch(address, "/v1/services/orders/a/b?c=d%20e")
        assert status == 200
        assert answer["path"] == "/a/b?c=d%20e"


async def test_same_key_on_two_entry_hosts_runs_once(deployment):
    first, second = deployment.entry_addresses.values()
    options = {"headers": {"Idempotency-Key": "order-17"}, "data": b"barley 40"}
    _, answer = await fetch(first, "/v1/services/orders/order", "POST", **options)
    _, second_answer = await fetch(
        second, "/v1/services/orders/order", "POST", **options
    )
    assert second_answer == answer
    runs = [len(s.executions_of("order-17")) for s in deployment.servers.values()]
    assert sum(runs) == 1


@pytest.mark.parametrize(
    ("path", "headers", "status", "code"),
    [
        ("/v1/lookup?service=none", {}, 404, 3001),
        ("/v1/services/none/x", {}, 404, 3001),
        ("/v1/services/orders/x", {"Bulrushlead-Timeout-Ms": "nan"}, 400, 3201),
        ("/v1/services/orders/x", {"Bulrushlead-Timeout-Ms": "-1"}, 400, 3201),
        ("/v1/services/orders/x", {"Idempotency-Key": "k" * 256}, 400, 3201),
    ],
)
async def test_invalid_requests_are_refused_as_not_run(
    deployment, path, headers, status, code
):
    address = random.Random(1).choice(list(deployment.entry_addresses.values()))
    actual_status, answer = await fetch(address, path, headers=headers)
    assert (actual_status, answer["code"], answer["ran"]) == (status, code, "no")
    assert all(not server.execution_log for server in deployment.servers.values())


async def test_restart_restores_the_configuration(tmp_path):
    # After a restart, the new leader grants no slots while requests that were admitted
    # in the previous term may still run. With the default maximum duration of 30 s, it
    # would wait longer than the ready timeout.
    plan = DeploymentPlan(services=(ServicePlan(Service("s", max_duration_ms=500)),))
    for revision in (1, 2):
        deployment = Deployment(plan, str(tmp_path))
        try:
            # Each start applies the declaration once, so that revision 2 shows that
            # revision 1 was restored.
            await deployment.start()
            entry = next(iter(deployment.entries.values()))
            assert entry.session.revision == revision
        finally:
            await deployment.close()
