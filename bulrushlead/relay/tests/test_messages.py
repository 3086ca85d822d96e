"""Tests of what two hosts tell each other about a request."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushlead.http1 import Answer, Request
from bulrushlead.metrics import CompactMeters
from bulrushlead.relay import RelayOrder, RelayService, RelayVerdict
from bulrushlead.relay._messages import (
    EXCHANGE_HEADER,
    ORDER_HEADER,
    VERDICT_HEADER,
    decode_order,
    encode_order,
)
from bulrushlead.relay._service import MAX_CARRIED_REQUESTS
from bulrushlead.results import BulrushleadError

ORDER = RelayOrder(
    "e1", "north", "stock", "read", b"\x00key", True, False, True, 300.0, 1500.0, 2
)


def test_an_order_survives_its_encoding():
    assert decode_order(encode_order(ORDER)) == ORDER


@given(st.one_of(st.none(), st.binary(max_size=300)))
def test_any_bytes_are_an_order_or_a_numbered_error(value):
    try:
        order = decode_order(value)
    except BulrushleadError:
        return
    assert isinstance(order, RelayOrder)


def make_service(carried, verdict=RelayVerdict.ENDED):
    async def carry(request, order):
        carried.append((request, order))
        headers = [(b"X-Own", b"1"), (VERDICT_HEADER, b"forged")]
        return Answer(200, headers, b"body"), verdict

    return RelayService(carry, CompactMeters())


def request(*headers):
    return Request(b"GET", b"/", [(b"host", b"h"), *headers])


async def test_a_request_is_carried_without_the_fields_of_the_exchange():
    carried = []
    answer = await make_service(carried).answer(
        request((ORDER_HEADER, encode_order(ORDER)), (EXCHANGE_HEADER, b"7"))
    )
    ((sent, order),) = carried
    assert (sent.headers, order) == ([(b"host", b"h")], ORDER)
    assert answer.headers == [
        (b"X-Own", b"1"),
        (VERDICT_HEADER, b"ended"),
        (EXCHANGE_HEADER, b"7"),
    ]


@pytest.mark.parametrize("headers", [(), ((ORDER_HEADER, b"!"),)])
async def test_a_request_without_a_valid_order_is_declined(headers):
    carried = []
    answer = await make_service(carried).answer(request(*headers))
    assert answer.status == 400
    assert answer.header(VERDICT_HEADER) == b"declined"
    assert carried == []


async def test_a_host_that_carries_many_requests_declines_more():
    carried = []
    service = make_service(carried)
    service.in_progress = MAX_CARRIED_REQUESTS
    order = request((ORDER_HEADER, encode_order(ORDER)))
    assert (await service.answer(order)).header(VERDICT_HEADER) == b"declined"
    assert carried == []
