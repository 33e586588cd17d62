"""Selection of readers and of sources to subscribe to."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenacross.feed.exceptions import FeedError
from verbenacross.feed.members import (
    Member,
    is_ahead,
    order_sources,
    select_readers,
    spread,
)

MEMBERS = st.lists(
    st.builds(
        Member,
        st.uuids().map(str),
        st.just("10.0.0.1:1"),
        st.sampled_from("abcd"),
        st.floats(0, 100_000),
        st.integers(0, 10_000),
    ),
    unique_by=lambda member: member.instance,
    min_size=1,
)


@given(MEMBERS, st.randoms())
def test_all_instances_find_the_same_reader_of_each_failure_domain(members, generator):
    shuffled = [*members]
    generator.shuffle(shuffled)

    readers = select_readers(members)

    assert set(readers) == set(select_readers(shuffled))
    assert len(readers) == len({member.failure_domain for member in members})


@given(MEMBERS)
def test_sources_are_readers_first_and_never_oneself(members):
    own = members[0]
    readers = {reader.instance for reader in select_readers(members)} - {own.instance}

    sources = [member.instance for member in order_sources(members, own)]

    assert set(sources[: len(readers)]) == readers
    assert own.instance not in sources
    assert len(sources) == len(members) - 1


@given(MEMBERS)
def test_reader_is_the_member_that_no_other_is_ahead_of(members):
    for reader in select_readers(members):
        assert not any(is_ahead(member, reader) for member in members)
        peers = [m for m in members if m.failure_domain == reader.failure_domain]
        # A reader sends each change to many others.
        assert reader.link_mbps == max(member.link_mbps for member in peers)


@given(st.text())
def test_spread_is_a_share(name):
    assert 0 <= spread(name) <= 1


@given(MEMBERS)
def test_record_round_trip(members):
    for member in members:
        assert Member.from_data(member.instance, member.to_data()) == member


def test_record_of_an_earlier_release():
    data = b'{"address": "10.0.0.1:80", "failure_domain": "a"}'

    assert Member.from_data("one", data) == Member("one", "10.0.0.1:80", "a", 0.0, 1)


BASE = b'{"address": "10.0.0.1:80", "failure_domain": "a", '


@pytest.mark.parametrize(
    "data",
    [
        *(b"", b"[]", b"{}", b"\xff"),
        BASE + b'"link_mbps": NaN}',
        BASE + b'"link_mbps": "fast"}',
        BASE + b'"instances": []}',
        BASE + b'"instances": Infinity}',
        BASE + b'"instances": 1' + b"0" * 400 + b"}",
        b"[" * 100_000,
        BASE + b'"other": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        b'{"address": "10.0.0.1:65536", "failure_domain": "a"}',
        b'{"address": 80, "failure_domain": "a"}',
    ],
)
def test_malformed_record(data):
    with pytest.raises(FeedError):
        Member.from_data("one", data)
