"""What the host that received a request tells the host that carries it."""

import base64
import binascii
from enum import Enum

from bulrushlead.http1 import HeaderList
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import codec, message

ORDER_HEADER = b"bulrushlead-relay"
VERDICT_HEADER = b"bulrushlead-relay-verdict"
# Callers may omit or repeat the identifier of their requests, so that an exchange
# between two hosts has one of its own.
EXCHANGE_HEADER = b"bulrushlead-relay-exchange"
RELAY_HEADERS = frozenset({ORDER_HEADER, VERDICT_HEADER, EXCHANGE_HEADER})


class RelayVerdict(Enum):
    """What became of a request that another host was asked to carry.

    ``DECLINED`` and ``REFUSED`` both say that no server has started to run it. After
    ``DECLINED`` another host may carry it, after ``REFUSED`` the caller is refused.
    ``ENDED`` says nothing: it may have run. ``LOST`` and ``OVERDUE`` are not sent, but
    set by the host that waited.
    """

    DECLINED = "declined"
    REFUSED = "refused"
    ENDED = "ended"
    LOST = "lost"
    OVERDUE = "overdue"


@message("relay.order")
class RelayOrder:
    """How to handle a request that another host received.

    The host that received it has applied its traffic plan, so that the plan of the
    carrying host does not matter.

    Parameters
    ----------
    host_id, region : str
        Host that received the request from its caller, and its region. The request goes
        to servers of that region first, as it would without the cut.
    service, route : str
        Service that handles it, and name of its route.
    key : bytes
        Object key; an evenly distributed value if the request has none.
    sticky, urgent : bool
        See ``Work``.
    idempotent : bool
        Whether the request may run more than once.
    target_latency_ms, remaining_ms : float
        Target latency, and time until the caller's deadline, in milliseconds.
    max_attempts, previous_attempts : int
        Servers that may get the request, and those that have got it already.
    excluded : tuple of str
        The servers that have got it already.
    allowed_regions : tuple of str
        Regions that may run it; all if empty.
    organisation : str
        Organisation that sent it; empty if it needs none.
    credential : bytes
        Digest of the caller's key, if the carrying host has to find out whether the
        organisation may still send, and to count the request against its quota.
    route_digest : int
        See ``Work``; 0 from a host whose build does not send it.
    """

    host_id: str
    region: str
    service: str
    route: str
    key: bytes
    sticky: bool
    urgent: bool
    idempotent: bool
    target_latency_ms: float
    remaining_ms: float
    max_attempts: int
    previous_attempts: int = 0
    excluded: tuple[str, ...] = ()
    allowed_regions: tuple[str, ...] = ()
    organisation: str = ""
    credential: bytes = b""
    route_digest: int = 0


def encode_order(order: RelayOrder) -> bytes:
    """Return an order as the value of ``ORDER_HEADER``."""
    return base64.b64encode(codec.encode(order))


def decode_order(value: bytes | None) -> RelayOrder:
    """Return the order in the value of ``ORDER_HEADER``.

    Raises
    ------
    BulrushleadError
        With ``MESSAGE_MALFORMED`` if there is none or it is not valid.
    """
    try:
        data = base64.b64decode(value or b"", validate=True)
    except binascii.Error as error:
        raise BulrushleadError(
            ResultCode.MESSAGE_MALFORMED, f"relay order: {error}"
        ) from error
    order = codec.decode(data)
    if not isinstance(order, RelayOrder):
        raise BulrushleadError(
            ResultCode.MESSAGE_MALFORMED, f"a relay order is not a {type(order)}"
        )
    return order


def without_relay_headers(headers: HeaderList) -> HeaderList:
    """Return the fields that do not belong to the exchange between two hosts."""
    return [field for field in headers if field[0].lower() not in RELAY_HEADERS]
