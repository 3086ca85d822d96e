"""Encodes attrs messages as CBOR, and validates messages while decoding."""

from typing import Any, TypeVar

import attrs
import cattrs
import cbor2
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn

from bulrushlead.results import BulrushleadError, ResultCode

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
CLOSE_TIMEOUT_MS = 500  # for the closing handshake; allows several round trips

T = TypeVar("T")


class MessageCodec:
    """Encodes and decodes messages of the registered classes.

    Notes
    -----
    An encoded message is the CBOR array ``[type name, fields]``. Unknown fields
    are ignored, so that two releases can run side by side.
    """

    def __init__(self):
        self._types: dict[str, type] = {}
        self._converter = cattrs.Converter()
        self._converter.register_structure_hook(bytes, _structure_bytes)
        self._converter.register_unstructure_hook(bytes, lambda value: value)
        self._converter.register_structure_hook(str, _structure_str)
        self._converter.register_structure_hook(int, _structure_int)
        self._converter.register_structure_hook(float, _structure_float)
        self._converter.register_structure_hook(bool, _structure_bool)

    def register(self, message_type: type[T], name: str) -> type[T]:
        """Register a message class under a stable name.

        Raises
        ------
        ValueError
            If another class is registered under the name.
        """
        registered = self._types.get(name)
        if (
            registered is not None
            and registered.__qualname__ != message_type.__qualname__
        ):
            raise ValueError(
                f"message name {name!r} is already registered for "
                f"{registered.__qualname__}; use another name"
            )
        self._types[name] = message_type
        message_type.__message_name__ = name
        self._converter.register_unstructure_hook(
            message_type,
            make_dict_unstructure_fn(
                message_type, self._converter, _cattrs_omit_if_default=True
            ),
        )
        self._converter.register_structure_hook(
            message_type, make_dict_structure_fn(message_type, self._converter)
        )
        return message_type

    def to_plain(self, value: Any) -> Any:
        """Return ``value`` as plain data that CBOR can encode."""
        return self._converter.unstructure(value)

    def from_plain(self, data: Any, value_type: type[T]) -> T:
        """Return an instance of ``value_type`` made from plain data.

        Raises
        ------
        BulrushleadError
            With ``MESSAGE_MALFORMED`` if the data does not match the type.
        """
        try:
            return self._converter.structure(data, value_type)
        except Exception as error:
            raise _malformed(
                f"{value_type.__name__}: {_first_line(error)}; send the fields "
                "that the message class declares"
            ) from error

    def encode(self, value: Any) -> bytes:
        """Return a message as CBOR bytes."""
        plain = self._converter.unstructure(value)
        return cbor2.dumps([type(value).__message_name__, plain])

    def decode(self, data: bytes) -> Any:
        """Return the message that ``data`` encodes.

        Raises
        ------
        BulrushleadError
            With ``MESSAGE_TOO_LARGE`` if ``data`` exceeds ``MAX_MESSAGE_BYTES``, or
            ``MESSAGE_MALFORMED`` if it is not a valid message.
        """
        if len(data) > MAX_MESSAGE_BYTES:
            raise BulrushleadError(
                ResultCode.MESSAGE_TOO_LARGE,
                f"message of {len(data)} bytes; at most {MAX_MESSAGE_BYTES} allowed",
            )
        name, plain = _load_message(data)
        message_type = self._types.get(name)
        if message_type is None:
            raise _malformed(f"unknown message type {name!r:.80}")
        return self.from_plain(plain, message_type)


def _load_message(data: bytes) -> tuple[str, dict]:
    try:
        decoded = cbor2.loads(data)
    except Exception as error:
        raise _malformed(f"not CBOR: {_first_line(error)}") from error
    if not (
        isinstance(decoded, list)
        and len(decoded) == 2
        and isinstance(decoded[0], str)
        and isinstance(decoded[1], dict)
    ):
        raise _malformed("a frame is the array [type name, fields]")
    return decoded[0], decoded[1]


def _malformed(detail: str) -> BulrushleadError:
    return BulrushleadError(ResultCode.MESSAGE_MALFORMED, detail)


def _first_line(error: Exception) -> str:
    return str(error).split("\n", 1)[0][:200]


def _structure_bytes(value: Any, _: type) -> bytes:
    if not isinstance(value, bytes):
        raise TypeError(f"expected bytes, found {type(value).__name__}")
    return value


def _structure_str(value: Any, _: type) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected text, found {type(value).__name__}")
    return value


def _structure_int(value: Any, _: type) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"expected an integer, found {type(value).__name__}")
    return value


def _structure_float(value: Any, _: type) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise TypeError(f"expected a number, found {type(value).__name__}")
    return float(value)


def _structure_bool(value: Any, _: type) -> bool:
    if not isinstance(value, bool):
        raise TypeError(f"expected true or false, found {type(value).__name__}")
    return value


codec = MessageCodec()


def message(name: str):
    """Return a class decorator that makes a frozen attrs message class.

    Parameters
    ----------
    name : str
        Stable name of the message on the wire, for example ``"log.append"``.
    """

    def decorate(cls: type[T]) -> type[T]:
        return codec.register(attrs.frozen(cls), name)

    return decorate
