"""Every metric is documented, and both registries render values and labels."""

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from bulrushlead.metrics import METRICS, CompactMeters, Meters, Metric


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


def test_compact_meters_render_counters_gauges_and_quantiles():
    meters = CompactMeters()
    meters.count(Metric.REQUESTS_TOTAL, service='a"b', code="200")
    meters.count(Metric.REQUESTS_TOTAL, 2, service='a"b', code="200")
    meters.register_gauge(Metric.SERVERS, lambda: 5)
    for value_ms in range(1, 101):
        meters.observe(Metric.REQUEST_DURATION_MS, value_ms, service="a")
    lines = meters.render().splitlines()
    assert 'bulrushlead_requests_total{service="a\\"b",code="200"} 3' in lines
    assert "bulrushlead_servers 5" in lines
    assert "# TYPE bulrushlead_request_duration_ms summary" in lines
    assert 'bulrushlead_request_duration_ms{service="a",quantile="0.5"} 50' in lines
    assert 'bulrushlead_request_duration_ms_count{service="a"} 100' in lines


def test_compact_meters_clip_values_outside_the_range():
    meters = CompactMeters()
    meters.observe(Metric.REQUEST_DURATION_MS, 10**9, service="a")
    meters.observe(Metric.REQUEST_DURATION_MS, -5, service="a")
    assert 'bulrushlead_request_duration_ms_count{service="a"} 2' in meters.render()
