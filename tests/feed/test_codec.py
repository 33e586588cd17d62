"""Encoding of the messages between a publisher and its subscribers."""

from __future__ import annotations

import contextlib

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenacross.feed.codec import decode_message, encode_message
from verbenacross.feed.exceptions import FeedError
from verbenacross.feed.messages import Subscribe, Update
from verbenacross.infrastructure.key_value_store import StoredValue

RECORDS = st.builds(
    StoredValue, st.text(), st.none() | st.binary(), st.integers(0, 2**53)
)
MESSAGES = st.builds(Subscribe, st.text(), st.integers(0, 2**53)) | st.builds(
    Update,
    st.integers(0, 2**53),
    st.booleans(),
    st.booleans(),
    st.lists(RECORDS).map(tuple),
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
        ["Subscribe", 1, 2],
        ["Update", 1, True, True, [["key", "text", 1]]],
        ["Update", 1, True, True],
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
