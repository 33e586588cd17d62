"""Which instances read the store, and how the others receive its records.

The instances run on virtual time and are connected in memory, so that no outcome
depends on how many other processes share the machine. Real connections are covered by
tests/node/test_news.py.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack

import pytest

from tests.feed.memory_network import MemoryNetwork
from verbenacross.documents.address import Address
from verbenacross.feed import (
    publisher,
    record_log,
    store_reader,
    subscription,
    synchronizer,
)
from verbenacross.feed.members import Member, select_readers
from verbenacross.feed.publisher import Publisher
from verbenacross.feed.record_log import RecordLog
from verbenacross.feed.store_reader import StoreReader
from verbenacross.feed.synchronizer import SUBSCRIPTION_COUNT, Synchronizer
from verbenacross.infrastructure.exceptions import StoreUnavailableError
from verbenacross.infrastructure.key_value_store import (
    NO_POSITION,
    StoredValue,
    StorePosition,
    StoreSnapshot,
)

TIMEOUT_S = 5.0
START_INTERVAL_S = 0.013
CHECK_TIMEOUT_S = 0.4
# A healthy instance must receive a change within this time, in seconds.
UPDATE_BOUND_S = 2.0


class VirtualTime:
    """Takes the place of the ``time`` module."""

    @staticmethod
    def monotonic() -> float:
        return asyncio.get_running_loop().time()


@pytest.fixture(autouse=True)
def network(monkeypatch):
    network = MemoryNetwork()
    monkeypatch.setattr(publisher, "serve", network.serve)
    monkeypatch.setattr(subscription, "connect", network.connect)
    for module in (publisher, record_log, store_reader, subscription, synchronizer):
        monkeypatch.setattr(module, "time", VirtualTime)


class Store:
    """A store of member records; calls of instances in ``rejected`` fail."""

    def __init__(self) -> None:
        self.values: dict[str, StoredValue] = {}
        self.revision = 1
        self.rejected: set[str] = set()
        self.changed = asyncio.Event()

    def put(self, key: str, data: bytes) -> None:
        self.revision += 1
        self.values[key] = StoredValue(key, data, self.revision)
        self.changed.set()
        self.changed = asyncio.Event()


class StoreConnection:
    """An instance's connections to the store: "watch", and "check" for other calls.

    Connections in ``unresponsive`` do not answer. The next watch, or a check that timed
    out, replaces the connection.
    """

    def __init__(self, store: Store, instance: str) -> None:
        self.store = store
        self.unresponsive: set[str] = set()
        self.instance = instance
        self.reads = 0
        self.watches = 0

    async def read_prefix(self, prefix: str) -> StoreSnapshot:
        self.reads += 1
        await self._call()
        return StoreSnapshot(self.store.revision, tuple(self.store.values.values()))

    async def watch(self, prefix: str, revision: int, wait_ms: int) -> StoreSnapshot:
        self.watches += 1
        self.unresponsive.discard("watch")
        await self._call()
        if self.store.revision == revision:
            try:
                async with asyncio.timeout(wait_ms / 1_000):
                    await self.store.changed.wait()
            except TimeoutError:
                pass
        if "watch" in self.unresponsive:
            await asyncio.Event().wait()
        await self._call()
        values = [v for v in self.store.values.values() if v.revision > revision]
        return StoreSnapshot(self.store.revision, tuple(values))

    async def check(self) -> int:
        if "check" in self.unresponsive:
            await asyncio.sleep(CHECK_TIMEOUT_S)
            self.unresponsive.discard("check")
            raise StoreUnavailableError("no answer")
        await self._call()
        return 0

    async def _call(self) -> None:
        await asyncio.sleep(0.002)
        if self.instance in self.store.rejected:
            raise StoreUnavailableError("rejected")


class ResettablePublisher(Publisher):
    """A publisher whose connections a test can reset."""

    def __init__(self, log, is_fresh) -> None:
        super().__init__(log, is_fresh)
        self.connections = set()
        self.is_standing_still = False

    async def _handle(self, connection) -> None:
        if self.is_standing_still:
            await asyncio.Event().wait()
        self.connections.add(connection)
        await super()._handle(connection)

    def reset_connections(self) -> None:
        for connection in self.connections:
            connection.transport.abort()
        self.connections.clear()

    def stand_still(self) -> None:
        """Sends nothing more, on open connections or on new ones."""
        self.is_standing_still = True
        self.block_connections()

    def block_connections(self) -> None:
        for connection in self.connections:
            # The subscriber receives neither data nor the end of the connection.
            connection.transport.write = lambda data: None
            connection.transport.writelines = lambda data: None
        self.connections.clear()


class Instance:
    """An instance without its request path."""

    def __init__(self, store: Store, member: Member, seeds=(), first=False) -> None:
        self.member = member
        self.log = RecordLog()
        self.store = StoreConnection(store, member.instance)
        self.reader = StoreReader(self.store, "", self.log)
        self.publisher = ResettablePublisher(self.log, self.reader.is_fresh)
        self.recoveries = 0
        self.synchronizer = Synchronizer(
            member,
            tuple(seeds),
            self.reader,
            self.publisher,
            self.log,
            self.find_members,
            self.count_recovery,
            is_first_start=first,
        )

    def count_recovery(self) -> None:
        self.recoveries += 1

    def find_members(self) -> list[Member]:
        records = self.log.get_records_since(NO_POSITION)[0]
        return [
            Member.from_data(record.key, record.value)
            for record in records
            if record.key.startswith("node-")
        ]

    def is_reading(self) -> bool:
        return self.synchronizer._read_task is not None


async def wait_until(check) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not check():
            await asyncio.sleep(0.01)


class Fleet:
    """Instances of two failure domains in one process."""

    def __init__(self, stack: AsyncExitStack, count: int) -> None:
        self.stack = stack
        self.store = Store()
        self.members = [
            Member(f"node-{index}", f"10.0.0.1:{index + 1}", "ab"[index % 2])
            for index in range(count)
        ]

    def register(self, member: Member) -> None:
        self.store.put(member.instance, member.to_data())

    async def start(self, member: Member, **options) -> Instance:
        instance = Instance(self.store, member, **options)
        address = Address.from_text(member.address)
        await instance.publisher.listen(self.stack, address)
        task = asyncio.create_task(instance.synchronizer.run())
        self.stack.callback(task.cancel)
        return instance

    async def settle(self) -> tuple[list[Instance], list[Instance]]:
        """Starts all instances; returns readers and others once roles are stable."""
        for member in self.members:
            self.register(member)
        instances = []
        for member in self.members:
            # Their periodic updates are not at the same moment.
            await asyncio.sleep(START_INTERVAL_S)
            instances.append(await self.start(member))
        names = {member.instance for member in select_readers(self.members)}
        readers = [i for i in instances if i.member.instance in names]
        others = [i for i in instances if i not in readers]
        await wait_until(lambda: not any(other.is_reading() for other in others))
        await wait_until(lambda: all(other.synchronizer.is_fresh() for other in others))
        # Instances that read during the start stop after their idle timeout.
        await asyncio.sleep(1.5)
        return readers, others


@pytest.fixture
async def stack():
    async with AsyncExitStack() as stack:
        yield stack


async def test_restarted_instances_hardly_watch_the_store(stack):
    """All instances restart at once, and the record of each one changes."""
    fleet = Fleet(stack, 12)
    for member in fleet.members:
        fleet.register(member)
    instances = [await fleet.start(member) for member in fleet.members]
    for member in fleet.members:
        await asyncio.sleep(0.05)
        fleet.register(member)

    names = {member.instance for member in select_readers(fleet.members)}
    others = [i for i in instances if i.member.instance not in names]
    await wait_until(lambda: not any(other.is_reading() for other in others))
    await asyncio.sleep(1.5)

    # A few instances read in place of readers that have not started yet.
    assert sum(other.store.watches for other in others) <= 2 * len(others)
    assert all(other.log.revision == fleet.store.revision for other in others)


async def test_first_start_reads_through_seeds(stack):
    fleet = Fleet(stack, 12)
    seeds = [member.address for member in fleet.members[:3]]
    instances = []
    # Seeds start last.
    for member in reversed(fleet.members):
        instances.append(await fleet.start(member, seeds=seeds, first=True))
        await asyncio.sleep(0.02)
    for instance in instances:
        # An instance registers only once it has learned the records, so no other asks
        # it for them earlier.
        await instance.log.loaded.wait()
        fleet.register(instance.member)

    await wait_until(
        lambda: all(i.log.revision == fleet.store.revision for i in instances)
    )
    names = {member.instance for member in select_readers(fleet.members)}
    await wait_until(
        lambda: {i.member.instance for i in instances if i.is_reading()} == names
    )
    await asyncio.sleep(1.5)

    assert sum(i.store.reads for i in instances) == len(seeds)
    assert {i.member.instance for i in instances if i.is_reading()} == names
    assert all(i.synchronizer.is_fresh() for i in instances)


async def test_first_start_without_any_seed_alive(stack):
    fleet = Fleet(stack, 2)
    dead = [f"10.0.0.2:{port}" for port in (1, 2, 3)]

    instance = await fleet.start(fleet.members[0], seeds=dead, first=True)

    await wait_until(instance.synchronizer.is_fresh)


async def test_reset_connections_make_nobody_else_read(stack):
    """Incident inc-b960: all connections between instances are reset at once."""
    fleet = Fleet(stack, 10)
    readers, others = await fleet.settle()
    before = sum(other.store.watches for other in others)

    for reader in readers:
        reader.publisher.reset_connections()
    await asyncio.sleep(1.0)

    assert sum(other.store.watches for other in others) == before
    assert all(other.synchronizer.is_fresh() for other in others)


async def test_connections_that_go_silent_make_nobody_else_read(stack):
    """All open connections stop delivering data at once; new ones work."""
    fleet = Fleet(stack, 10)
    readers, others = await fleet.settle()
    before = sum(other.store.watches for other in others)

    for reader in readers:
        reader.publisher.block_connections()
        reader.store.unresponsive |= {"watch", "check"}
    fleet.register(fleet.members[0])
    async with asyncio.timeout(UPDATE_BOUND_S):
        while any(i.log.revision < fleet.store.revision for i in readers + others):
            await asyncio.sleep(0.01)
    await asyncio.sleep(1.0)

    assert sum(other.store.watches for other in others) == before
    assert all(other.synchronizer.is_fresh() for other in others)


async def test_readers_that_replace_their_store_connections_are_kept(stack):
    """The connections to the store stop responding; new ones work at once."""
    fleet = Fleet(stack, 10)
    readers, others = await fleet.settle()
    before = sum(other.store.watches for other in others)
    for _ in range(5):
        for reader in readers:
            reader.store.unresponsive |= {"watch", "check"}
        # Longer than a watch waits for changes.
        await asyncio.sleep(4.0)

    assert sum(other.store.watches for other in others) == before
    assert all(other.synchronizer.is_fresh() for other in others)


async def test_refused_readers_are_replaced_by_few(stack):
    fleet = Fleet(stack, 24)
    readers, others = await fleet.settle()
    before = sum(other.store.watches for other in others)

    fleet.store.rejected |= {reader.member.instance for reader in readers}
    await asyncio.sleep(0.5)
    fleet.register(fleet.members[0])
    await wait_until(
        lambda: all(other.log.revision == fleet.store.revision for other in others)
    )

    reading = [other for other in others if other.is_reading()]
    # The replacement reader of each failure domain, and the sources it subscribes to.
    assert len(reading) <= len(readers) * (SUBSCRIPTION_COUNT + 1)
    # An immediate response, a long poll that the change ends, and the next long poll.
    assert sum(other.store.watches for other in others) - before <= 3 * len(reading)


async def test_instance_that_knows_no_other_asks_seeds(stack):
    """The instance loses the store before it has learned of any other member."""
    fleet = Fleet(stack, 2)
    alone, other = fleet.members
    fleet.register(alone)
    instance = await fleet.start(alone, seeds=[other.address])
    await wait_until(instance.reader.is_fresh)
    await fleet.start(other)

    fleet.store.rejected.add(alone.instance)
    await asyncio.sleep(0.1)
    fleet.register(other)

    async with asyncio.timeout(UPDATE_BOUND_S):
        while instance.log.revision < fleet.store.revision:
            await asyncio.sleep(0.01)


async def test_reader_that_begins_to_read_tells_at_once(stack):
    """Guards against a reader that is not fresh until the first change.

    A watch that waits is answered only when something changes.
    """
    store = Store()
    connection = StoreConnection(store, "node")
    log = RecordLog()
    log.merge((), StorePosition(0, store.revision), "peer", is_complete=True)
    reader = StoreReader(connection, "", log)
    task = asyncio.create_task(reader.run())
    stack.callback(task.cancel)

    async with asyncio.timeout(0.3):
        while not reader.is_fresh():
            await asyncio.sleep(0.01)


async def test_reader_checks_before_it_watches_while_refused(stack):
    store = Store()
    store.rejected.add("node")
    connection = StoreConnection(store, "node")
    log = RecordLog()
    log.merge((), StorePosition(0, store.revision), "peer", is_complete=True)
    reader = StoreReader(connection, "", log)
    task = asyncio.create_task(reader.run())
    stack.callback(task.cancel)

    await asyncio.sleep(1.0)

    assert connection.watches == 0
    assert reader.check_count >= 2


async def test_records_arrive_from_one_source_only(stack):
    """Guards the links: the standby sends its revision and no records."""
    fleet = Fleet(stack, 6)
    readers, others = await fleet.settle()

    for other in others:
        modes = sorted(
            (s.is_standby, s.is_fresh()) for s in other.synchronizer._subscriptions
        )
        assert modes == [(False, True), (True, True)]
    receivers = sum(reader.publisher.receiver_count for reader in readers)
    assert receivers == len(others)
    assert sum(i.synchronizer.count_instances() for i in readers + others) == 6


async def test_standby_shows_that_a_source_has_lost_the_store(stack):
    """Guards against a source whose watch no longer responds but whose checks do.

    It calls itself fresh until the watch times out.
    """
    fleet = Fleet(stack, 6)
    readers, others = await fleet.settle()
    blind = next(r for r in readers if r.publisher.receiver_count)
    watch = blind.store.watch

    async def watch_in_vain(prefix, revision, wait_ms):
        await asyncio.sleep(wait_ms / 1_000)
        raise StoreUnavailableError("no answer")

    blind.store.watch = watch_in_vain
    # The watch that waits now is answered by one change; the next one is not.
    fleet.register(fleet.members[0])
    await wait_until(lambda: blind.log.revision == fleet.store.revision)
    fleet.register(fleet.members[1])

    async with asyncio.timeout(UPDATE_BOUND_S):
        while any(other.log.revision < fleet.store.revision for other in others):
            await asyncio.sleep(0.01)
    blind.store.watch = watch


def find_sources(instances: list[Instance], other: Instance) -> list[Instance]:
    names = [source["peer"] for source in other.synchronizer.describe_sources()]
    return [instance for instance in instances if instance.member.instance in names]


@pytest.mark.parametrize("lost", ["source", "source and standby", "all readers"])
async def test_sources_that_stand_still_are_no_outage_of_the_store(stack, lost):
    """Guards against upstreams that left but stay in use for the grace period.

    The store was available all the while, so no entry lapsed for want of a renewal.
    """
    fleet = Fleet(stack, 12)
    readers, others = await fleet.settle()
    watched = others[0]
    sources = find_sources(readers, watched)
    main = next(s for s in sources if s.publisher.receiver_count)
    standing = {"source": [main], "source and standby": sources}.get(lost, readers)

    for reader in standing:
        reader.publisher.stand_still()
    fleet.register(fleet.members[0])
    async with asyncio.timeout(UPDATE_BOUND_S):
        while any(other.log.revision < fleet.store.revision for other in others):
            await asyncio.sleep(0.01)

    assert [other.recoveries for other in others] == [0] * len(others)


@pytest.mark.parametrize("cut", ["source", "all readers"])
async def test_readers_that_lose_the_store_are_no_outage_for_others(stack, cut):
    """Guards against the grace period on instances whose source alone is cut off."""
    fleet = Fleet(stack, 12)
    readers, others = await fleet.settle()
    main = next(
        s for s in find_sources(readers, others[0]) if s.publisher.receiver_count
    )

    rejected = [main] if cut == "source" else readers
    fleet.store.rejected |= {reader.member.instance for reader in rejected}
    await asyncio.sleep(0.5)
    fleet.register(fleet.members[0])
    await wait_until(
        lambda: all(other.log.revision == fleet.store.revision for other in others)
    )
    await asyncio.sleep(1.5)

    assert [other.recoveries for other in others] == [0] * len(others)


async def test_outage_of_the_store_is_detected_by_all(stack):
    """Guards against living upstreams that are removed because their entries lapsed.

    Entries lapse in an outage of two of their heartbeats, 3 s, or longer. Each instance
    must know of the outage when it merges the first records, also if a peer that is not
    connected to the store itself passes them on.
    """
    fleet = Fleet(stack, 12)
    readers, others = await fleet.settle()
    instances = readers + others
    recoveries = []
    for instance in instances:
        instance.log.batches.subscribe(
            lambda _, instance=instance: recoveries.append(instance.recoveries)
        )

    fleet.store.rejected |= {member.instance for member in fleet.members}
    await asyncio.sleep(3.0)
    fleet.store.rejected.clear()
    fleet.register(fleet.members[0])
    await wait_until(
        lambda: all(i.log.revision == fleet.store.revision for i in instances)
    )

    assert len(recoveries) >= len(instances)
    assert all(recoveries)


async def test_large_record_reaches_subscribers_behind_slow_links(stack, monkeypatch):
    """Guards against subscribers that give up while a large record is on its way.

    Pattern: a configuration with many routes on links of a few megabits. A subscriber
    that starts over makes the link only slower.
    """
    fleet = Fleet(stack, 6)
    readers, others = await fleet.settle()
    split_frame = publisher.split_frame

    class SlowFrame:
        """Yields the fragments of a frame as slowly as a congested link."""

        def __init__(self, frame):
            self.fragments = split_frame(frame)

        async def __aiter__(self):
            for fragment in self.fragments:
                await asyncio.sleep(0.2)
                yield fragment

    def split_slowly(frame):
        return SlowFrame(frame) if len(frame) > publisher.FRAGMENT_BYTES else frame

    monkeypatch.setattr(publisher, "split_frame", split_slowly)
    monkeypatch.setattr(publisher, "SEND_TIMEOUT_S", 5.0)
    watches = sum(other.store.watches for other in others)
    # About 6 fragments once compressed: 1.2 s, longer than a heartbeat may be missing.
    filler = random.Random(1).randbytes(6 * publisher.FRAGMENT_BYTES)
    fleet.store.put("op/config", filler)

    async with asyncio.timeout(UPDATE_BOUND_S + 1.0):
        while any(other.log.revision < fleet.store.revision for other in others):
            await asyncio.sleep(0.01)
    assert sum(other.store.watches for other in others) == watches


async def test_servers_that_join_one_after_the_other_share_calls(stack):
    """Pattern: a tenth of hundreds of servers is added or taken away in half a minute.

    Each reader calls the store at most twice a second meanwhile, and each change still
    reaches all instances in time.
    """
    fleet = Fleet(stack, 6)
    readers, others = await fleet.settle()
    watches = [reader.store.watches for reader in readers]
    length_s, changes = 10.0, 100
    latest = 0.0

    for number in range(changes):
        fleet.store.put(f"server-{number}", b"{}")
        changed_at, revision = VirtualTime.monotonic(), fleet.store.revision
        await asyncio.sleep(length_s / changes)
        if number % 20 == 0:
            await wait_until(
                lambda r=revision: all(o.log.revision >= r for o in others)
            )
            latest = max(latest, VirtualTime.monotonic() - changed_at)

    assert latest < UPDATE_BOUND_S / 2
    for reader, before in zip(readers, watches, strict=True):
        # One more for the change that the waiting watch was answered with.
        assert reader.store.watches - before <= 2 * (length_s + 5 * latest) + 1
