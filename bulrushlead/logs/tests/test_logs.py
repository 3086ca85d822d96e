"""Every event is documented, and log lines contain its number and fields."""

import io
import json

from bulrushlead.logs import EVENTS, Event, EventLogger, LogFormat, build_handler


def test_every_event_has_an_entry_in_the_catalogue():
    assert set(EVENTS) == set(Event)


def test_json_line_carries_number_and_fields():
    stream = io.StringIO()
    with build_handler(LogFormat.JSON, stream).applicationbound():
        EventLogger("routing").write(Event.ROUTE_CHOSEN, region="fes", load=0.5)
    line = json.loads(stream.getvalue())
    assert (line["event"], line["region"], line["load"]) == (210, "fes", 0.5)


def test_human_line_shows_name_and_fields():
    stream = io.StringIO()
    with build_handler(LogFormat.HUMAN, stream).applicationbound():
        EventLogger("routing").write(Event.REQUEST_REFUSED, code=3101)
    assert "REQUEST_REFUSED [routing] code=3101" in stream.getvalue()
