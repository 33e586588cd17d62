"""Selection of readers and of sources to subscribe to."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenacross.feed.exceptions import FeedError
from verbenacross.feed.members import Member, order_sources, select_readers

MEMBERS = st.lists(
    st.builds(
        Member, st.uuids().map(str), st.just("10.0.0.1:1"), st.sampled_from("abcd")
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


def test_record_round_trip():
    member = Member("one", "10.0.0.1:80", "a")

    assert Member.from_data("one", member.to_data()) == member


@pytest.mark.parametrize("data", [b"", b"[]", b"{}", b"\xff"])
def test_malformed_record(data):
    with pytest.raises(FeedError):
        Member.from_data("one", data)
