"""Names of routes are labels: several routes of a plan may have the same one."""

import asyncio
import re

import attrs
import logbook
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushlead.gateway._active_plan import ActivePlan
from bulrushlead.gateway._relaying import carried_work
from bulrushlead.gateway._request_log import MAX_PATTERN_CHARACTERS
from bulrushlead.gateway.tests import harness as fakes
from bulrushlead.http1 import Request
from bulrushlead.logs import Event
from bulrushlead.relay._messages import decode_order, encode_order
from bulrushlead.relay.tests.test_messages import ORDER
from bulrushlead.traffic import Route, ServiceShare, TrafficPlan

HOSTS = ("a.example", "b.example")
PREFIXES = ("/", "/stock/", "/stock/barley/")
SERVICES = ("s1", "s2", "s3")
ORDER_MS = 300.0


@st.composite
def plans(draw):
    """Draw a plan with few names for its routes, whose patterns may repeat."""
    patterns = st.tuples(st.sampled_from(HOSTS), st.sampled_from(PREFIXES))
    routes = []
    for host, prefix in draw(st.lists(patterns, min_size=1, max_size=8)):
        name = draw(st.sampled_from(("read", "order")))
        services = draw(st.lists(st.sampled_from(SERVICES), min_size=1, unique=True))
        shares = tuple(ServiceShare(service, 1.0) for service in services)
        routes.append(Route(name, host, prefix, shares, True, 2e3, 3e2))
    return TrafficPlan(1, tuple(routes))


@given(plan=plans(), requests=st.integers(1, 5))
def test_requests_run_at_a_service_of_the_route_that_they_match(plan, requests):
    """Guards against requests that run at the service of a route with the same name."""
    active = ActivePlan(plan)
    for _ in range(requests):
        for route in plan.routes:
            target = f"{route.path_prefix}1".encode()
            found = active.find_route(route.host.encode(), target)
            assert found.pattern == route.pattern
            services = [share.service for share in found.shares]
            assert active.next_service(found) in services


@pytest.mark.parametrize("prefix", ["/read/", "/read/" + "x" * 300 + "/"])
async def test_line_of_a_request_tells_what_its_route_matches(prefix):
    """Guards against lines that do not tell routes with one name apart."""
    route = attrs.evolve(fakes.ROUTES[0], path_prefix=prefix)
    harness = await fakes.build_harness(fakes.good, routes=(route,))
    try:
        with logbook.TestHandler() as handler:
            await harness.send_request(prefix.encode() + b"1")
    finally:
        harness.close()
    (fields,) = [
        record.extra["fields"]
        for record in handler.records
        if record.extra["event"] == Event.REQUEST_DONE.value
    ]
    assert fields["pattern"] == f"h{prefix}"[:MAX_PATTERN_CHARACTERS]


async def test_estimates_of_routes_with_one_name_do_not_mix():
    """Guards against refusing fast requests for the slow ones of another route."""

    async def slow_orders(server, head, writer):
        if b"/order/" in head:
            await asyncio.sleep(ORDER_MS / 1_000)
        return fakes.answer()

    read, order, _ = (
        attrs.evolve(route, name="r", sticky=True, target_latency_ms=ORDER_MS)
        for route in fakes.ROUTES
    )
    harness = await fakes.build_harness(slow_orders, routes=(read, order))
    works_ms = []
    try:
        for path in (b"/read/1", b"/order/1", b"/order/1", b"/read/1"):
            headers = [(b"host", b"h"), (b"id", b"r1"), (b"key", b"k")]
            request = Request(b"GET", path, headers, b"", fakes.CLOCK.now_ms())
            with logbook.TestHandler() as handler:
                await harness.forwarder.answer(request)
            (attempt,) = handler.records[-1].extra["fields"]["attempts"]
            works_ms.append(float(re.search(" work=([0-9]+) ", attempt)[1]))
    finally:
        harness.close()
    assert works_ms[2] > 0.5 * ORDER_MS
    assert works_ms[3] < 0.1 * ORDER_MS


@given(patterns=st.lists(st.tuples(st.text(), st.text()), max_size=4, unique=True))
def test_a_carried_request_is_estimated_by_its_route(patterns):
    """Guards against mixing the routes of another host that have one name."""
    groups = set()
    for host, prefix in patterns:
        route = attrs.evolve(fakes.ROUTES[0], host=host, path_prefix=prefix)
        order = attrs.evolve(ORDER, route_digest=route.digest)
        groups.add(carried_work(decode_order(encode_order(order))).duration_group)
    assert len(groups) == len(patterns)
