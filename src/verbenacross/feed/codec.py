"""Encodes messages as CBOR arrays that start with the name of the message type.

Large messages are compressed with zlib: a configuration consists mostly of repeated
names, and a reader sends it to many subscribers over a link of a few megabits.
"""

from __future__ import annotations

import zlib
from typing import Any

import cbor2

from ..infrastructure.key_value_store import StoredValue
from .exceptions import FeedError
from .messages import Message, Status, Subscribe, Update

# Large enough for several values of the store's maximum size.
MAX_MESSAGE_BYTES = 8_388_608
# Smaller messages fit into one packet without compression.
MIN_COMPRESSED_BYTES = 1_024
# The fastest level; higher ones save little on repeated names.
COMPRESSION_LEVEL = 1
# First byte of a zlib stream with the usual window; no CBOR array begins with it.
ZLIB_MARKER = 0x78


def encode_message(message: Message) -> bytes:
    """Encodes a message as CBOR and compresses it if it is large."""
    encoded = cbor2.dumps([type(message).__name__, *message])
    if len(encoded) < MIN_COMPRESSED_BYTES:
        return encoded
    return zlib.compress(encoded, COMPRESSION_LEVEL)


def decode_message(data: bytes | str) -> Message:
    """Decodes a frame; raises ``FeedError`` when it is malformed."""
    if isinstance(data, str):
        raise FeedError("expected a binary frame, got text")
    if data[:1] == bytes([ZLIB_MARKER]):
        data = decompress(data)
    try:
        parts: Any = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise FeedError(f"frame is not valid CBOR: {error}") from error
    match parts:
        case ["Subscribe", str(instance), int(era), int(revision), bool(is_standby)]:
            return Subscribe(instance, era, revision, is_standby)
        case ["Status", int(era), int(revision), bool(fresh)]:
            return Status(era, revision, fresh)
        case [
            "Update",
            int(era),
            int(revision),
            bool(complete),
            bool(fresh),
            list(records),
        ]:
            decoded = tuple(map(decode_record, records))
            return Update(era, revision, complete, fresh, decoded)
    raise FeedError("unknown message type or malformed fields")


def decompress(data: bytes) -> bytes:
    """Decompresses a frame; raises ``FeedError`` if it is malformed or too large."""
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise FeedError(f"frame cannot be decompressed: {error}") from error
    if not decompressor.eof:
        raise FeedError("frame is truncated or too large when decompressed")
    return decompressed


def decode_record(parts: Any) -> StoredValue:
    """Decodes a record of an update; raises ``FeedError`` when it is malformed."""
    match parts:
        case [str(key), bytes() | None as value, int(revision)]:
            return StoredValue(key, value, revision)
    raise FeedError("malformed record: expected a key, a value and a revision")
