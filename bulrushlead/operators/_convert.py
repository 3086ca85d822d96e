"""Conversion between the messages of operators.proto and the data model."""

from collections.abc import Sequence
from enum import Enum
from functools import singledispatch
from typing import Any

import attrs

from bulrushlead.declaration import (
    SECTIONS,
    Change,
    ChangeKind,
    Declaration,
    Difference,
    FieldChange,
    HostRole,
    Risk,
    RiskKind,
    normalise,
)
from bulrushlead.operators import operators_pb2 as pb
from bulrushlead.operators._messages import ClusterStatus, HistoryEntry, HostStatus
from bulrushlead.results import BulrushleadError, ResultCode


@singledispatch
def to_proto(value: Any) -> Any:
    """Convert a value of the data model to its protobuf form.

    Parameters
    ----------
    value : object
        Item of a declaration, enum member, plain value or tuple of these.

    Returns
    -------
    object
        Message, enum number, plain value or list of these.
    """
    if not attrs.has(type(value)):
        return value
    message_type = getattr(pb, type(value).__name__)
    return message_type(
        **{
            field.name: to_proto(getattr(value, field.name))
            for field in attrs.fields(type(value))
        }
    )


@to_proto.register
def _(value: Enum) -> int:
    return (
        pb.DESCRIPTOR.enum_types_by_name[type(value).__name__]
        .values_by_name[f"{_enum_prefix(type(value))}_{value.name}"]
        .number
    )


@to_proto.register
def _(value: tuple) -> list:
    return [to_proto(item) for item in value]


@to_proto.register
def _(value: Risk) -> pb.Risk:
    # operators.proto has no enum for RiskKind; the kind is sent as its value.
    return pb.Risk(kind=value.kind.value, key=value.key, detail=value.detail)


def declaration_from_proto(message: pb.Declaration) -> Declaration:
    """Convert a declaration; its values are not validated.

    Raises
    ------
    BulrushleadError
        With ``MESSAGE_MALFORMED`` if an enum value is unknown.
    """
    return normalise(
        Declaration(
            **{
                section: tuple(
                    _item_from_proto(item, item_type)
                    for item in getattr(message, section)
                )
                for section, item_type in SECTIONS.items()
            }
        )
    )


def entry_from_proto(message: pb.HistoryEntry) -> HistoryEntry:
    """Convert one change of the history."""
    return HistoryEntry(
        message.revision,
        message.request_id,
        message.author,
        message.force,
        tuple(message.summary),
    )


def status_from_proto(message: pb.GetStatusReply) -> ClusterStatus:
    """Convert the status of the cluster.

    Raises
    ------
    BulrushleadError
        With ``MESSAGE_MALFORMED`` if the role of a host is unknown.
    """
    return ClusterStatus(
        message.revision,
        message.leader,
        message.term,
        tuple(
            HostStatus(
                host.name,
                _enum_from_number(HostRole, host.role, "role"),
                host.in_force_revision,
                host.lease_remaining_ms,
                host.connected,
            )
            for host in message.hosts
        ),
    )


def difference_from_proto(changes: Sequence[pb.Change]) -> Difference:
    """Convert the changes that a declaration would make.

    Raises
    ------
    BulrushleadError
        With ``MESSAGE_MALFORMED`` if the kind of a change is not defined in this
        release.
    """
    try:
        return Difference(
            tuple(
                Change(
                    ChangeKind(change.kind),
                    change.section,
                    change.item,
                    tuple(FieldChange(f.field, f.old, f.new) for f in change.fields),
                )
                for change in changes
            )
        )
    except ValueError as error:
        raise BulrushleadError(
            ResultCode.MESSAGE_MALFORMED, f"{error}; upgrade this client"
        ) from error


def risk_from_proto(message: pb.Risk) -> Risk:
    """Convert one risk.

    Raises
    ------
    BulrushleadError
        With ``MESSAGE_MALFORMED`` if its kind is not defined in this release.
    """
    try:
        return Risk(RiskKind(message.kind), message.key, message.detail)
    except ValueError as error:
        raise BulrushleadError(
            ResultCode.MESSAGE_MALFORMED,
            f"risk kind {message.kind!r:.80} is unknown; upgrade this client",
        ) from error


def _item_from_proto(message: Any, item_type: type) -> Any:
    values = {}
    for field in attrs.fields(item_type):
        value = getattr(message, field.name)
        if isinstance(field.type, type) and issubclass(field.type, Enum):
            value = _enum_from_number(field.type, value, field.name)
        values[field.name] = value
    return item_type(**values)


def _enum_from_number(enum_type: type[Enum], number: int, field: str) -> Enum:
    descriptor = pb.DESCRIPTOR.enum_types_by_name[enum_type.__name__]
    enum_value = descriptor.values_by_number.get(number)
    # In proto3, 0 is the UNSPECIFIED value of a field that the sender left unset.
    if enum_value is None or number == 0:
        allowed = ", ".join(list(descriptor.values_by_name)[1:])
        raise BulrushleadError(
            ResultCode.MESSAGE_MALFORMED,
            f"{field} {number} is unknown; allowed: {allowed}",
        )
    return enum_type[enum_value.name.removeprefix(_enum_prefix(enum_type) + "_")]


def _enum_prefix(enum_type: type[Enum]) -> str:
    letters = (f"_{c}" if c.isupper() else c for c in enum_type.__name__)
    return "".join(letters).lstrip("_").upper()
