"""Encodes messages as CBOR arrays of a type name and the message's fields."""

from __future__ import annotations

import zlib
from typing import Any, get_args

import cbor2
from pydantic import TypeAdapter, ValidationError

from .exceptions import ProtocolError
from .messages import Compressed, Message

MAX_MESSAGE_BYTES = 2_097_152
MIN_COMPRESSED_BYTES = 256
COMPRESSION_LEVEL = 1

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


def encode_compressed(message: Message) -> bytes:
    """Returns the CBOR form of a message, compressed when that is worth the work.

    Raises ``ProtocolError`` when the message is too large before its compression.
    """
    encoded = encode_message(message)
    if len(encoded) < MIN_COMPRESSED_BYTES:
        return encoded
    return encode_message(Compressed(zlib.compress(encoded, COMPRESSION_LEVEL)))


def decode_message(data: bytes | str) -> Message:
    """Returns the message in a frame; decompresses it if needed.

    Raises ``ProtocolError`` when it is malformed.
    """
    message = decode_plain(data)
    if not isinstance(message, Compressed):
        return message
    inner = decode_plain(decompress(message.data))
    if isinstance(inner, Compressed):
        raise ProtocolError("a compressed message holds another one")
    return inner


def decompress(data: bytes) -> bytes:
    """Returns the content of a zlib stream; raises ``ProtocolError`` if unusable."""
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise ProtocolError(f"the compressed data is damaged: {error}") from error
    if not decompressor.eof or decompressor.unused_data:
        raise ProtocolError("the compressed data is incomplete or above the limit")
    return content


def decode_plain(data: bytes | str) -> Message:
    """Returns the message in a frame as it is."""
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
