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
    message_type.__name__: TypeAdapter(message_type)
    for message_type in get_args(Message)
}


def encode_message(message: Message) -> bytes:
    """Encodes a message as CBOR; raises ``ProtocolError`` when it is too large."""
    encoded = cbor2.dumps([type(message).__name__, message])
    if len(encoded) > MAX_MESSAGE_BYTES:
        raise ProtocolError(
            f"{type(message).__name__} of {len(encoded)} bytes is above the limit "
            f"of {MAX_MESSAGE_BYTES} bytes"
        )
    return encoded


def encode_compressed(message: Message) -> bytes:
    """Encodes a message as CBOR, compressed from ``MIN_COMPRESSED_BYTES`` upwards.

    Raises ``ProtocolError`` when the message is too large before compression.
    """
    encoded = encode_message(message)
    if len(encoded) < MIN_COMPRESSED_BYTES:
        return encoded
    return encode_message(Compressed(zlib.compress(encoded, COMPRESSION_LEVEL)))


def decode_message(data: bytes | str) -> Message:
    """Decodes the message in a frame and decompresses it if needed.

    Raises ``ProtocolError`` when the frame is malformed or too large.
    """
    message = decode_uncompressed(data)
    if not isinstance(message, Compressed):
        return message
    content = decode_uncompressed(decompress(message.data))
    if isinstance(content, Compressed):
        raise ProtocolError("compressed message contains another compressed message")
    return content


def decompress(data: bytes) -> bytes:
    """Decompresses a zlib stream to at most ``MAX_MESSAGE_BYTES``.

    Raises ``ProtocolError`` when it is damaged, incomplete or above the limit.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise ProtocolError(f"compressed data is damaged: {error}") from error
    if not decompressor.eof or decompressor.unused_data:
        raise ProtocolError(
            "compressed data is incomplete, has trailing bytes "
            f"or exceeds {MAX_MESSAGE_BYTES} bytes when decompressed"
        )
    return content


def decode_uncompressed(data: bytes | str) -> Message:
    """Decodes a frame without decompressing a ``Compressed`` message."""
    if isinstance(data, str):
        raise ProtocolError("frame is text, expected binary")
    if len(data) > MAX_MESSAGE_BYTES:
        raise ProtocolError(
            f"frame of {len(data)} bytes is above the limit "
            f"of {MAX_MESSAGE_BYTES} bytes"
        )
    try:
        decoded: Any = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise ProtocolError(f"frame is not valid CBOR: {error}") from error
    if not isinstance(decoded, list) or len(decoded) != 2:
        raise ProtocolError("frame is not a CBOR array of message type and fields")
    adapter = ADAPTERS.get(decoded[0]) if isinstance(decoded[0], str) else None
    if adapter is None:
        raise ProtocolError(f"unknown message type {decoded[0]!r}")
    try:
        return adapter.validate_python(decoded[1])
    except ValidationError as error:
        raise ProtocolError(f"malformed fields of {decoded[0]}: {error}") from error
