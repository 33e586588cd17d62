"""Encodes messages as CBOR arrays that start with the name of the message type."""

from __future__ import annotations

from typing import Any

import cbor2

from ..infrastructure.key_value_store import StoredValue
from .exceptions import FeedError
from .messages import Message, Subscribe, Update

# Large enough for several values of the store's maximum size.
MAX_MESSAGE_BYTES = 8_388_608


def encode_message(message: Message) -> bytes:
    """Encodes a message as CBOR."""
    return cbor2.dumps([type(message).__name__, *message])


def decode_message(data: bytes | str) -> Message:
    """Decodes a frame; raises ``FeedError`` when it is malformed."""
    if isinstance(data, str):
        raise FeedError("expected a binary frame, got text")
    try:
        parts: Any = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise FeedError(f"frame is not valid CBOR: {error}") from error
    match parts:
        case ["Subscribe", str(instance), int(revision)]:
            return Subscribe(instance, revision)
        case ["Update", int(revision), bool(complete), bool(fresh), list(records)]:
            return Update(revision, complete, fresh, tuple(map(decode_record, records)))
    raise FeedError("unknown message type or malformed fields")


def decode_record(parts: Any) -> StoredValue:
    """Decodes a record of an update; raises ``FeedError`` when it is malformed."""
    match parts:
        case [str(key), bytes() | None as value, int(revision)]:
            return StoredValue(key, value, revision)
    raise FeedError("malformed record: expected a key, a value and a revision")
