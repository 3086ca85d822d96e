from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from bulrushlead.metrics import METRICS, Meters, Metric


def test_every_metric_has_an_entry_in_the_catalogue():
    assert set(METRICS) == set(Metric)


async def test_metrics_are_served_with_their_labels():
    meters = Meters()
    meters.count(Metric.REQUESTS_TOTAL, service="stock", code="OK")
    meters.count(Metric.REQUESTS_TOTAL, 2, service="stock", code="OK")
    meters.observe(Metric.REQUEST_DURATION_MS, 7, service="stock")
    app = web.Application()
    app.router.add_get("/metrics", meters.serve)
    async with TestClient(TestServer(app)) as client:
        text = await (await client.get("/metrics")).text()
    assert 'bulrushlead_requests_total{code="OK",service="stock"} 3' in text
    assert 'bulrushlead_request_duration_ms_bucket{le="10.0",service="stock"} 1' in text
