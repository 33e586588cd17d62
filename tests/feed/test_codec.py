"""Encoding of the messages between a publisher and its subscribers."""

from __future__ import annotations

import contextlib
import json
import random
import zlib

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenacross.feed.codec import (
    MAX_MESSAGE_BYTES,
    decode_message,
    encode_message,
)
from verbenacross.feed.exceptions import FeedError
from verbenacross.feed.messages import Status, Subscribe, Update
from verbenacross.infrastructure.key_value_store import StoredValue

RECORDS = st.builds(
    StoredValue, st.text(), st.none() | st.binary(), st.integers(0, 2**53)
)
REVISIONS = st.integers(0, 2**53)
MESSAGES = (
    st.builds(Subscribe, st.text(), REVISIONS, REVISIONS, st.booleans())
    | st.builds(Status, REVISIONS, REVISIONS, st.booleans())
    | st.builds(
        Update,
        REVISIONS,
        REVISIONS,
        st.booleans(),
        st.booleans(),
        st.lists(RECORDS).map(tuple),
    )
)


@given(MESSAGES)
def test_round_trip(message):
    assert decode_message(encode_message(message)) == message


@given(st.binary())
def test_any_bytes_are_a_message_or_an_error(data):
    with contextlib.suppress(FeedError):
        decode_message(data)


@pytest.mark.parametrize(
    "parts",
    [
        ["Subscribe", 1, 1, 2],
        ["Subscribe", "node", 2, True],
        ["Subscribe", "node", 1, 2, "yes"],
        ["Status", 1, 1],
        ["Status", 1, True],
        ["Status", 1, "1", True],
        ["Update", 1, 1, True, True, [["key", "text", 1]]],
        ["Update", 1, 1, True, True],
        ["Update", 1, True, True, []],
        ["Other"],
        {},
    ],
)
def test_malformed(parts):
    with pytest.raises(FeedError):
        decode_message(cbor2.dumps(parts))


def test_text():
    with pytest.raises(FeedError):
        decode_message("text")


def build_update(value: bytes) -> Update:
    return Update(1, 7, False, True, (StoredValue("op/config", value, 7),))


def test_configuration_with_many_routes_is_compressed():
    """Guards slow links: a reader sends each configuration to all of its subscribers.

    Pattern: a configuration that grows by 1,400 routes.
    """
    generator = random.Random(1)
    rules = [
        {
            "name": f"r-{generator.getrandbits(28):07x}",
            "kind": "safe",
            "target_latency": "1328ms",
            "match": {"path_prefix": f"/{generator.getrandbits(32):08x}/"},
            "action": {"service": "huvo11a", "timeout": "3000ms", "max_attempts": 2},
        }
        for _ in range(1_400)
    ]
    update = build_update(json.dumps(rules).encode())

    frame = encode_message(update)

    assert len(frame) < len(update.records[0].value) / 5
    assert decode_message(frame) == update


def test_compressed_frame_larger_than_the_limit():
    """Guards the memory of a subscriber against a small frame that expands."""
    frame = zlib.compress(cbor2.dumps(["Update", bytes(MAX_MESSAGE_BYTES)]))

    with pytest.raises(FeedError):
        decode_message(frame)


def test_truncated_compressed_frame():
    frame = encode_message(build_update(bytes(5_000)))

    with pytest.raises(FeedError):
        decode_message(frame[:-4])
