"""Samples of what two builds must have in common: messages, and decisions of groups.

Started with the package of one build on the path. ``python build_samples.py write``
prints an encoded sample of each message as one line of JSON, ``read`` takes such a line
from the standard input and prints, by message, what this build cannot decode or loses,
and ``decide`` prints what hosts decide together without asking each other.
"""

import enum
import importlib
import json
import pkgutil
import random
import sys
import types
import typing

import attrs
import cbor2

import bulrushlead
from bulrushlead.clock import ManualClock
from bulrushlead.dispatch._ranking import Ranking
from bulrushlead.dispatch._server import new_stats
from bulrushlead.dispatch._sharing import select_sharing_hosts
from bulrushlead.fleet import HostRecord, ServerRecord, ServerState
from bulrushlead.organisations import _shares
from bulrushlead.relay._carriers import CarrierTable
from bulrushlead.results import BulrushleadError
from bulrushlead.wire import codec

ZONES = {"a": "north", "b": "north", "c": "south"}
PLAIN = {int: [3], float: [2.5], str: ["x"], bytes: [b"x"], bool: [True, False]}


def import_all():
    """Import each module, so that each message class is registered."""
    for module in pkgutil.walk_packages(bulrushlead.__path__, "bulrushlead."):
        name = module.name.rpartition(".")[2]
        if ".tests" not in module.name and name not in ("__main__", "conftest"):
            importlib.import_module(module.name)


def samples(kind):
    """Return values of a type: all members of an enumeration, all parts of a union."""
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if kind in PLAIN:
        return PLAIN[kind]
    if kind is None or kind is type(None):
        return [None]
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return list(kind)
    if attrs.has(kind):
        return message_samples(kind)
    if origin in (typing.Union, types.UnionType):
        return [value for part in arguments for value in samples(part)]
    if origin is dict:
        return [
            dict.fromkeys(samples(arguments[0]), value)
            for value in samples(arguments[1])
        ]
    if origin is tuple and arguments[-1] is not Ellipsis:
        return [tuple(samples(part)[0] for part in arguments)]
    if origin in (tuple, list, frozenset):
        return [origin(samples(arguments[0]))]
    raise TypeError(f"no sample for {kind}")


def message_samples(kind):
    """Return instances of a class: in all, each value of each field occurs."""
    attrs.resolve_types(kind)
    values = {
        field.name: samples(field.type) for field in attrs.fields(kind) if field.init
    }
    count = max((len(one) for one in values.values()), default=1)
    return [
        kind(**{name: one[number % len(one)] for name, one in values.items()})
        for number in range(count)
    ]


def write():
    """Return the encoded samples of each message by its name."""
    return {
        name: [codec.encode(sample).hex() for sample in message_samples(kind)]
        for name, kind in codec._types.items()
    }


def read(encoded):
    """Return, by message, what of the samples of another build this one cannot keep."""
    faults = {}
    for name, messages in encoded.items():
        for message in messages:
            data = bytes.fromhex(message)
            try:
                decoded = codec.decode(data)
            except BulrushleadError as error:
                faults[name] = str(error)
                continue
            kept = cbor2.loads(codec.encode(decoded))[1]
            lost = lost_fields(cbor2.loads(data)[1], kept)
            if lost:
                faults[name] = f"loses {', '.join(lost)}"
    return faults


def lost_fields(original, kept, path=""):
    """Return the paths of the values in ``original`` that ``kept`` does not have."""
    if isinstance(original, dict) and isinstance(kept, dict):
        pairs = [(str(key), value, kept.get(key)) for key, value in original.items()]
    elif isinstance(original, list) and isinstance(kept, list):
        pairs = [
            (str(number), value, kept[number] if number < len(kept) else None)
            for number, value in enumerate(original)
        ]
    else:
        return [] if original == kept else [path]
    return [
        lost
        for name, value, other in pairs
        for lost in lost_fields(value, other, f"{path}.{name}")
    ]


def decide():
    """Return decisions that each host takes for itself, like all the others."""
    rng = random.Random(1)
    zones = list(ZONES)
    names = [f"host-{number}" for number in range(40)]
    regions = [(name, ZONES[rng.choice(zones)]) for name in names]
    servers = [
        ServerRecord(
            f"s{number}",
            1,
            "stock",
            f"127.0.0.1:{number}",
            rng.choice(zones),
            rng.randrange(1, 9),
            ServerState.READY,
        )
        for number in range(30)
    ]
    stats = [new_stats(record, ZONES) for record in servers]
    carriers = CarrierTable(ManualClock(), "host-0", "north", rng)
    carriers.update(
        HostRecord(name, "127.0.0.1:1", "a", region, True, peer_address="127.0.0.1:2")
        for name, region in regions
    )
    ranking = Ranking(stats, "north")
    return {
        "sharing hosts of a server": [
            select_sharing_hosts(regions, server.server_id, "north", 5)
            for server in servers
        ],
        "keepers": [carriers.keeper(f"organisation-{n}") for n in range(40)],
        "servers of an object": [
            [server.server_id for group in ranking.order(b"%d" % n) for server in group]
            for n in range(40)
        ],
        "shares of a quota": [
            [_shares.demand_ratio(1.0, n, n), _shares.owned_part(n, 5_000.0, n)]
            for n in range(1, 40)
        ],
    }


VERBS = {
    "write": write,
    "read": lambda: read(json.load(sys.stdin)),
    "decide": decide,
}

if __name__ == "__main__":
    import_all()
    print(json.dumps(VERBS[sys.argv[1]]()))
