"""The codec raises only ``ProtocolError``, and round trips keep messages unchanged."""

import datetime
import typing

import cbor2
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from verbenacross.protocol import ProtocolError, decode_message, encode_message
from verbenacross.protocol.messages import (
    DirectoryUpdates,
    MemberUpdate,
    MemberUpdates,
    Message,
    PermitRequest,
    RecordCopies,
)

MESSAGE_NAMES = [kind.__name__ for kind in typing.get_args(Message)]
CBOR_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.binary(max_size=8)
    | st.text(max_size=8)
    | st.datetimes(timezones=st.just(datetime.UTC)),
    lambda value: (
        st.lists(value, max_size=4)
        | st.dictionaries(st.text(max_size=4), value, max_size=3)
        | st.builds(cbor2.CBORTag, st.integers(0, 300), value)
    ),
    max_leaves=10,
)


def decode_or_none(frame):
    try:
        return decode_message(frame)
    except ProtocolError:
        return None


@settings(max_examples=500, deadline=None)
@given(st.binary(max_size=80))
@example(b"\x9b" + b"\xff" * 8)
@example(b"\x5b\x7f" + b"\xff" * 7)
@example(b"\xc1\xfb\x7e" + b"\x00" * 7)
@example(b"\xd8\x1c\x82\x00\xd8\x1d\x00")
@example(b"\x81" * 5_000)
@example(b"\xa1\x80\x01")
def test_no_bytes_raise_anything_else(frame):
    """Guards against an unhandled exception on bytes that are not valid CBOR."""
    decode_or_none(frame)
    for name in ("Heartbeat", "RecordCopies"):
        decode_or_none(b"\x82" + cbor2.dumps(name) + frame)


@settings(max_examples=500, deadline=None)
@given(st.sampled_from(MESSAGE_NAMES), CBOR_VALUES | st.lists(CBOR_VALUES, max_size=8))
def test_no_fields_raise_anything_else(name, fields):
    """Guards against an unhandled exception on valid CBOR with wrong fields."""
    try:
        frame = cbor2.dumps([name, fields])
    except cbor2.CBOREncodeError:
        return
    message = decode_or_none(frame)
    if message is not None:
        assert decode_message(encode_message(message)) == message


IDENTIFIERS = st.text(min_size=1, max_size=256)
MESSAGES = st.one_of(
    st.builds(
        MemberUpdates,
        st.lists(
            st.builds(
                MemberUpdate,
                IDENTIFIERS,
                st.integers(),
                IDENTIFIERS,
                IDENTIFIERS,
                st.sampled_from(["alive", "suspect", "dead", "leaving"]),
                st.integers(min_value=0),
            ),
            max_size=3,
        ).map(tuple),
    ),
    st.builds(
        PermitRequest,
        IDENTIFIERS,
        IDENTIFIERS,
        st.integers(min_value=0),
        st.lists(IDENTIFIERS, max_size=3).map(tuple),
        st.integers(min_value=0),
    ),
)


@settings(max_examples=200, deadline=None)
@given(MESSAGES)
def test_messages_survive_the_codec(message):
    """Guards against fields that encoding or decoding changes."""
    assert decode_message(encode_message(message)) == message


def test_oversized_frames_are_refused():
    """Guards against frames above the limit, both when encoding and decoding.

    They would exhaust the receiver's memory and make it close the sender's link.
    """
    large = RecordCopies((("policies/a/1", 1, b"x" * 2_200_000),))
    with pytest.raises(ProtocolError):
        encode_message(large)
    with pytest.raises(ProtocolError):
        decode_message(b"\x00" * 2_200_000)
    with pytest.raises(ProtocolError):
        decode_message("text")
    assert decode_message(encode_message(DirectoryUpdates(1, True, (), ())))
