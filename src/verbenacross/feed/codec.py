"""Encodes messages as CBOR arrays that begin with the type's name."""

from __future__ import annotations

from typing import Any

import cbor2

from ..infrastructure.key_value_store import StoredValue
from .exceptions import FeedError
from .messages import Message, Subscribe, Update

# Holds several values of the store's largest size.
MAX_MESSAGE_BYTES = 8_388_608


def encode_message(message: Message) -> bytes:
    """Returns the CBOR form of a message."""
    return cbor2.dumps([type(message).__name__, *message])


def decode_message(data: bytes | str) -> Message:
    """Returns the message in a frame; raises ``FeedError`` when it is malformed."""
    if isinstance(data, str):
        raise FeedError("the frame is text, expected binary")
    try:
        parts: Any = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise FeedError(f"the frame is not CBOR: {error}") from error
    match parts:
        case ["Subscribe", str(instance), int(revision)]:
            return Subscribe(instance, revision)
        case ["Update", int(revision), bool(complete), bool(fresh), list(records)]:
            return Update(revision, complete, fresh, tuple(map(read_record, records)))
    raise FeedError("the frame is no known message")


def read_record(parts: Any) -> StoredValue:
    """Returns a record of a message; raises ``FeedError`` when it is malformed."""
    match parts:
        case [str(key), bytes() | None as value, int(revision)]:
            return StoredValue(key, value, revision)
    raise FeedError("a record is not a key, a value and a revision")
