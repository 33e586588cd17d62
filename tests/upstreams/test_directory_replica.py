import random

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.fake_clock import FakeClock
from verbenacross.infrastructure.instance_list import Instance
from verbenacross.protocol import encode_message
from verbenacross.protocol.messages import DirectoryEntry
from verbenacross.settings import Address
from verbenacross.upstreams import UpstreamDirectory
from verbenacross.upstreams.directory_replica import (
    TOMBSTONE_LIFETIME_S,
    DirectoryReplica,
)

ADDRESS = Address("127.0.0.1", 80)


def build_instance(key: str, state: str = "live", port: int = 80) -> Instance:
    return Instance(key, "web", Address("127.0.0.1", port), "a", state)


ENTRIES = st.lists(
    st.builds(
        lambda key, version, origin, state: DirectoryEntry(
            key, version, origin, None if state is None else build_instance(key, state)
        ),
        st.sampled_from("xyz"),
        st.integers(1, 4),
        st.sampled_from(["", "r1", "r2"]),
        st.sampled_from(["live", "leaving", None]),
    ),
    max_size=12,
)


@settings(deadline=None)
@given(entries=ENTRIES, seed=st.randoms(use_true_random=False))
def test_late_duplicated_and_reordered_entries_converge(
    entries: list[DirectoryEntry], seed: random.Random
) -> None:
    """Guards against replicas that differ after the same updates."""
    first = DirectoryReplica(UpstreamDirectory())
    second = DirectoryReplica(UpstreamDirectory())
    for entry in entries:
        first.merge([entry])
    shuffled = entries + entries[: len(entries) // 2]
    seed.shuffle(shuffled)
    second.merge(shuffled)
    assert first.directory.instances == second.directory.instances
    assert first.compute_digest() == second.compute_digest()


def test_late_entry_does_not_return_a_removed_id():
    """Guards against requests to a removed upstream after a delayed update."""
    replica = DirectoryReplica(UpstreamDirectory())
    late = DirectoryEntry("x", 1, "r1", build_instance("x"))
    replica.merge([late, DirectoryEntry("x", 2, "r1", None)])
    assert replica.merge([late]) == ()
    assert "x" not in replica.directory.instances


def test_tombstones_end():
    """Guards against memory that grows with every removed id."""
    clock = FakeClock()
    replica = DirectoryReplica(UpstreamDirectory(), clock)
    replica.merge([DirectoryEntry("x", 1, "r1", None)])
    clock.now += TOMBSTONE_LIFETIME_S + 1
    replica.merge([DirectoryEntry("y", 2, "r1", build_instance("y"))])
    assert replica.get("x") is None


def test_parts_of_a_complete_directory_replace_it_at_the_last():
    """Guards against a part that replaces the whole list, and against its size."""
    source = UpstreamDirectory()
    long_text = "u" * 250
    source.replace(
        Instance(f"{long_text}{index}", long_text, ADDRESS, long_text)
        for index in range(25_000)
    )
    target = UpstreamDirectory()
    target.replace([build_instance("old")])
    parts = list(source.iter_complete_update())
    for part in parts[:-1]:
        encode_message(part)
        target.apply(part)
        assert list(target.instances) == ["old"]
    target.apply(parts[-1])
    assert target.instances == source.instances
