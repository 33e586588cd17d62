import asyncio
import itertools
from typing import Any

import pytest

from tests.agent.memory_overlay import MemoryOverlay
from tests.fake_clock import FakeClock
from verbenacross.agent.directory_sync import DirectorySync
from verbenacross.agent.list_change_detector import ListChangeDetector
from verbenacross.agent.peer_sender import PeerSender
from verbenacross.infrastructure.instance_list import Instance
from verbenacross.protocol.codec import MAX_MESSAGE_BYTES
from verbenacross.settings import Address, AgentSettings
from verbenacross.upstreams import UpstreamDirectory
from verbenacross.upstreams.directory_replica import (
    RECENT_CHANGE_S,
    DirectoryReplica,
)

ADDRESS = Address("127.0.0.1", 80)
LIVE = Instance("x", "web", ADDRESS, "a", "live")
OTHER = Instance("y", "web", ADDRESS, "a", "live")


class LaggingReaders:
    """Readers of one list with different lags, and their replicas."""

    def __init__(self, *lags: int) -> None:
        self.clock = FakeClock()
        self.history: list[tuple[Instance, ...]] = []
        self.lags = lags
        self.replicas = [
            DirectoryReplica(UpstreamDirectory(), self.clock) for _ in lags
        ]
        self.detectors = [
            ListChangeDetector(replica, f"r{index}", self.clock)
            for index, replica in enumerate(self.replicas)
        ]
        self.states: list[list[bool]] = []

    def step(self, *listed: Instance) -> None:
        """Advances by 1 s: every reader polls and its entries reach all replicas."""
        self.history.append(listed)
        self.clock.now += 1
        for lag, detector in zip(self.lags, self.detectors, strict=True):
            entries = detector.process(
                self.history[max(0, len(self.history) - 1 - lag)]
            )
            for replica in self.replicas:
                replica.merge(entries)
        self.states.append([self.is_listed(index) for index in range(len(self.lags))])

    def is_listed(self, replica: int, key: str = "x") -> bool:
        return key in self.replicas[replica].directory.instances


@pytest.mark.parametrize("lags", [(0, 30), (30, 0), (0, 5, 30)])
def test_slow_reader_does_not_undo_newer_changes(lags: tuple[int, ...]) -> None:
    """A lagging reader must not repeat a removal and return that it sees late."""
    readers = LaggingReaders(*lags)
    phases = [(OTHER, LIVE)] * 40 + [(OTHER,)] * 10 + [(OTHER, LIVE)] * 60
    for listed in phases:
        readers.step(*listed)
    listed_states = [state[0] for state in readers.states]
    assert [key for key, _ in itertools.groupby(listed_states)] == [True, False, True]
    assert all(len(set(state)) == 1 for state in readers.states)


def test_change_missed_by_all_readers_arrives_after_the_hold():
    """A list change that no reader saw happen must still be applied after the delay."""
    readers = LaggingReaders(0)
    readers.step(OTHER, LIVE)
    readers.detectors[0].reset()
    for _ in range(int(RECENT_CHANGE_S) + 3):
        readers.step(OTHER)
    assert not readers.is_listed(0)


def test_entry_brought_back_by_an_agent_that_missed_its_removal_ends_after_the_hold():
    """Guards against an upstream that stays in use after it left.

    The reader started after the removal, so it has no tombstone of the entry.
    """
    readers = LaggingReaders(0)
    late = DirectoryReplica(UpstreamDirectory(), readers.clock)
    late.record_changes("late", [(LIVE.id, LIVE)])
    readers.step(OTHER)
    readers.step(OTHER)
    readers.replicas[0].merge([late.get(LIVE.id)])
    for _ in range(int(RECENT_CHANGE_S) + 3):
        readers.step(OTHER)
    assert not readers.is_listed(0)


class FakeInstanceList:
    def __init__(self, *instances: Instance) -> None:
        self.instances = instances

    async def read(self) -> tuple[Instance, ...]:
        return self.instances


def build_sync(
    overlay: MemoryOverlay, name: str, instances: Any
) -> tuple[DirectorySync, DirectoryReplica]:
    settings = AgentSettings(
        name, "a", ADDRESS, ADDRESS, ADDRESS, "", "", "0123456789abcdef"
    )
    network = overlay.networks[name]
    replica = DirectoryReplica(UpstreamDirectory())
    sync = DirectorySync(settings, network, instances, replica, PeerSender(network))
    network.messages.subscribe(sync.handle_message)
    return sync, replica


async def exchange(overlay: MemoryOverlay) -> None:
    for _ in range(10):
        await asyncio.sleep(0)
        overlay.deliver(1)


async def test_new_agent_gets_25000_instances_in_messages_below_the_limit():
    """Full synchronisation at the design scale must respect the message size limit.

    Once the replicas are equal, a digest must cost less than 200 bytes.
    """
    overlay = MemoryOverlay("a", "b")
    instances = tuple(
        Instance(f"{'u' * 60}-{index}", f"service-{index % 1000}", ADDRESS, "domain-1")
        for index in range(25_000)
    )
    existing, source = build_sync(overlay, "a", FakeInstanceList())
    new, target = build_sync(overlay, "b", FakeInstanceList())
    source.record_changes("a", [(instance.id, instance) for instance in instances])
    target.record_changes("b", [("only-b", LIVE._replace(id="only-b"))])
    existing.send_digest()
    await exchange(overlay)
    assert source.directory.instances == target.directory.instances
    assert len(source.directory.instances) == 25_001
    assert overlay.largest_message < MAX_MESSAGE_BYTES
    overlay.total_bytes = 0
    existing.send_digest()
    await exchange(overlay)
    assert overlay.total_bytes < 200


async def test_reader_spreads_a_change_at_once():
    """A change must be broadcast at once instead of waiting for the next digest."""
    overlay = MemoryOverlay("a", "b", "c")
    listed = FakeInstanceList(LIVE)
    reader, _ = build_sync(overlay, "a", listed)
    replicas = [build_sync(overlay, name, listed)[1] for name in "bc"]
    await reader.read_list()
    listed.instances = (LIVE._replace(state="leaving"),)
    await reader.read_list()
    overlay.deliver()
    for replica in replicas:
        assert replica.directory.instances["x"].state == "leaving"
