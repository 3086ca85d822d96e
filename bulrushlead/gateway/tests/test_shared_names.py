"""Names of routes are labels: several routes of a plan may have the same one."""

import attrs
import logbook
import pytest

from bulrushlead.gateway._request_log import MAX_PATTERN_CHARACTERS
from bulrushlead.gateway.tests import harness as fakes
from bulrushlead.logs import Event


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
