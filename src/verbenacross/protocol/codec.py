"""Encodes messages as CBOR arrays of a type name and the message's fields."""

from __future__ import annotations

from typing import Any, get_args

import cbor2
from pydantic import TypeAdapter, ValidationError

from .exceptions import ProtocolError
from .messages import Message

MAX_MESSAGE_BYTES = 2_097_152

ADAPTERS: dict[str, TypeAdapter[Message]] = {
    kind.__name__: TypeAdapter(kind) for kind in get_args(Message)
}


def encode_message(message: Message) -> bytes:
    """Returns the CBOR form of a message. Raises ``ProtocolError`` when too large."""
    encoded = cbor2.dumps([type(message).__name__, message])
    if len(encoded) > MAX_MESSAGE_BYTES:
        raise ProtocolError(
            f"{type(message).__name__} of {len(encoded)} bytes is above the limit "
            f"of {MAX_MESSAGE_BYTES} bytes"
        )
    return encoded


def decode_message(data: bytes | str) -> Message:
    """Returns the message in a frame. Raises ``ProtocolError`` when it is malformed."""
    if isinstance(data, str):
        raise ProtocolError("the frame is text, expected binary")
    if len(data) > MAX_MESSAGE_BYTES:
        raise ProtocolError(f"the frame of {len(data)} bytes is above the limit")
    try:
        decoded: Any = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise ProtocolError(f"the frame is not CBOR: {error}") from error
    if not isinstance(decoded, list) or len(decoded) != 2:
        raise ProtocolError("the frame is not a list of type and fields")
    adapter = ADAPTERS.get(decoded[0]) if isinstance(decoded[0], str) else None
    if adapter is None:
        raise ProtocolError(f"unknown message type {decoded[0]!r}")
    try:
        return adapter.validate_python(decoded[1])
    except ValidationError as error:
        raise ProtocolError(f"malformed {decoded[0]}: {error}") from error
