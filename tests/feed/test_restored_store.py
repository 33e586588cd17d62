"""How fast and at what cost a fleet follows a store restored from a copy.

The instances run on virtual time and are connected in memory, as in
tests/feed/test_synchronizer.py.
"""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from contextvars import ContextVar
from typing import NamedTuple

import pytest

from tests.feed import test_synchronizer
from tests.feed.memory_network import Connection, MemoryNetwork
from tests.feed.test_synchronizer import (
    UPDATE_BOUND_S,
    Fleet,
    Instance,
    Store,
    StoreConnection,
    VirtualTime,
    find_sources,
)
from verbenacross.documents.address import Address
from verbenacross.feed import (
    publisher,
    record_log,
    store_reader,
    subscription,
    synchronizer,
)
from verbenacross.feed.members import Member, select_readers
from verbenacross.feed.record_log import RecordLog
from verbenacross.feed.store_reader import StoreReader
from verbenacross.infrastructure.exceptions import (
    HistoryLostError,
    StoreUnavailableError,
)
from verbenacross.infrastructure.key_value_store import (
    NO_POSITION,
    StoredValue,
    StorePosition,
    StoreSnapshot,
)

FLEET_SIZE = 18
DOMAINS = "abc"
CONNECT_TIMEOUT_S = 0.4
# Calls of an instance in the five seconds after a return. A reader reads all records,
# then a watch ends with the change and up to three end or begin without one.
MAX_READS = 1
MAX_READER_CALLS = 5
# Others call the store only if they looked for it during the outage: a read, a watch
# that does not wait, one that the change ends, and the next.
MAX_OTHER_CALLS = 4
COUNTED_S = 5.0
STEP_S = 0.02

running_instance: ContextVar[str] = ContextVar("running_instance", default="")


class StoreCopy(NamedTuple):
    values: dict[str, StoredValue]
    revision: int


class RestorableStore(Store):
    """A store that can be restored from copies; it holds the whole history."""

    def __init__(self) -> None:
        super().__init__()
        self.era = 1

    def copy(self) -> StoreCopy:
        return StoreCopy(dict(self.values), self.revision)

    def restore(self, saved: StoreCopy) -> None:
        self.values, self.revision = dict(saved.values), saved.revision
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()


class RestorableConnection(StoreConnection):
    """An instance's connections to a store that can be restored.

    ``hangs`` makes watches wait in vain, ``checked_era`` is the era that checks answer
    with if they are stale.
    """

    def __init__(self, store, instance) -> None:
        super().__init__(store, instance)
        self.hangs = False
        self.checked_era: int | None = None

    @property
    def calls(self) -> int:
        return self.reads + self.watches

    async def read_prefix(self, prefix: str) -> StoreSnapshot:
        snapshot = await super().read_prefix(prefix)
        return snapshot._replace(era=self.store.era)

    async def watch(self, prefix: str, revision: int, wait_ms: int) -> StoreSnapshot:
        self.watches += 1
        await self._call()
        if self.hangs:
            await asyncio.sleep(wait_ms / 1_000 + CONNECT_TIMEOUT_S)
            raise StoreUnavailableError("no answer")
        try:
            async with asyncio.timeout(wait_ms / 1_000):
                while self.store.revision == revision:
                    await self.store.changed.wait()
        except TimeoutError:
            pass
        await self._call()
        if revision > self.store.revision:
            raise HistoryLostError(f"revision {revision}")
        values = [v for v in self.store.values.values() if v.revision > revision]
        return StoreSnapshot(self.store.revision, tuple(values), self.store.era)

    async def check(self) -> int:
        await super().check()
        return self.store.era if self.checked_era is None else self.checked_era


class PartitionedNetwork(MemoryNetwork):
    """A network from which instances can be cut off."""

    def __init__(self) -> None:
        super().__init__()
        self.cut_off: set[str] = set()
        self.cut_addresses: set[str] = set()
        self.connections: list[tuple[str, str, Connection]] = []

    async def connect(self, address, **options) -> Connection:
        instance = running_instance.get()
        if instance in self.cut_off or address in self.cut_addresses:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise TimeoutError(address)
        connection = await super().connect(address, **options)
        self.connections.append((instance, address, connection))
        return connection

    def cut(self, member: Member) -> None:
        """Stops all data of an instance, on open connections and on new ones."""
        own_address = f"ws://{member.address}"
        self.cut_off.add(member.instance)
        self.cut_addresses.add(own_address)
        for instance, address, connection in self.connections:
            if instance == member.instance or address == own_address:
                near, far = connection.transport, connection.transport.peer
                for transport in (near, far):
                    transport.write = lambda fragment: None

    def join(self, member: Member) -> None:
        self.cut_off.discard(member.instance)
        self.cut_addresses.discard(f"ws://{member.address}")


class RestorableFleet(Fleet):
    """Instances of three failure domains in one process."""

    def __init__(self, stack: AsyncExitStack, count: int = FLEET_SIZE) -> None:
        super().__init__(stack, count)
        self.members = [
            member._replace(failure_domain=DOMAINS[index % len(DOMAINS)])
            for index, member in enumerate(self.members)
        ]
        self.instances: list[Instance] = []

    async def start(self, member: Member, **options) -> Instance:
        running_instance.set(member.instance)
        instance = await super().start(member, **options)
        self.instances.append(instance)
        return instance

    def count_calls(self) -> dict[str, int]:
        return {i.member.instance: i.store.calls for i in self.instances}

    def is_current(self, instance: Instance) -> bool:
        return instance.log.position == (self.store.era, self.store.revision)

    async def wait_current(self, bound_s: float, instances=None) -> None:
        """Waits until all instances have exactly the records of the store."""
        instances = self.instances if instances is None else instances
        async with asyncio.timeout(bound_s):
            while not all(map(self.is_current, instances)):
                await asyncio.sleep(0.01)
        for instance in instances:
            records, _ = instance.log.get_records_since(NO_POSITION)
            assert {r.key: r for r in records} == self.store.values

    def reject_all(self) -> None:
        self.store.rejected |= {member.instance for member in self.members}


@pytest.fixture(autouse=True)
def network(monkeypatch):
    network = PartitionedNetwork()
    monkeypatch.setattr(publisher, "serve", network.serve)
    monkeypatch.setattr(subscription, "connect", network.connect)
    for module in (publisher, record_log, store_reader, subscription, synchronizer):
        monkeypatch.setattr(module, "time", VirtualTime)
    monkeypatch.setattr(test_synchronizer, "Store", RestorableStore)
    monkeypatch.setattr(test_synchronizer, "StoreConnection", RestorableConnection)
    return network


@pytest.fixture
async def stack():
    async with AsyncExitStack() as stack:
        yield stack


async def settle(stack) -> tuple[RestorableFleet, list[Instance], list[Instance]]:
    fleet = RestorableFleet(stack)
    readers, others = await fleet.settle()
    assert len(readers) == len(DOMAINS)
    return fleet, readers, others


def write_lost(store: RestorableStore, count: int = 5) -> None:
    for number in range(count):
        store.put(f"lost-{number}", b"{}")


# How many writes follow the return: with more than were lost, the store passes the old
# revision, and nothing but the era shows the return.
@pytest.mark.parametrize("writes", [1, 5, 9])
@pytest.mark.parametrize("outage_s", [0.0, 1.0, 3.0])
async def test_change_after_the_return_reaches_all_in_time(stack, outage_s, writes):
    """Guards against changes that are dropped for their revisions."""
    fleet, _, _ = await settle(stack)
    saved = fleet.store.copy()
    write_lost(fleet.store)
    await fleet.wait_current(UPDATE_BOUND_S)

    if outage_s:
        fleet.reject_all()
        await asyncio.sleep(outage_s)
    fleet.store.restore(saved)
    fleet.store.rejected.clear()
    for number in range(writes):
        fleet.store.put(f"op/{number}", b"new")

    await fleet.wait_current(UPDATE_BOUND_S)


@pytest.mark.parametrize("delay_s", [0.1, 0.4, 0.8, 1.6])
async def test_change_some_time_after_the_return_reaches_all_in_time(stack, delay_s):
    """Guards against a change that comes while the instances still read the copy."""
    fleet, _, _ = await settle(stack)
    saved = fleet.store.copy()
    write_lost(fleet.store)
    await fleet.wait_current(UPDATE_BOUND_S)

    fleet.store.restore(saved)
    await asyncio.sleep(delay_s)
    fleet.store.put("op/config", b"new")

    await fleet.wait_current(UPDATE_BOUND_S)


@pytest.mark.parametrize("between_s", [0.0, 0.3, 1.0, 1.9])
async def test_two_returns_within_the_bound(stack, between_s):
    """Guards against instances that stay in the era between two returns."""
    fleet, _, _ = await settle(stack)
    saved = fleet.store.copy()
    write_lost(fleet.store)
    await fleet.wait_current(UPDATE_BOUND_S)

    fleet.store.restore(saved)
    write_lost(fleet.store, 7)
    await asyncio.sleep(between_s)
    fleet.store.restore(saved)
    fleet.store.put("op/config", b"new")

    await fleet.wait_current(UPDATE_BOUND_S)


@pytest.mark.parametrize("is_reader", [False, True], ids=["other", "reader"])
@pytest.mark.parametrize("returns", [1, 3])
async def test_instance_cut_off_during_the_return(stack, network, is_reader, returns):
    """Guards against an instance that keeps the old era once it is connected again.

    It must have the records within the bound of its connection, all others within the
    bound of the write.
    """
    fleet, readers, others = await settle(stack)
    alone = readers[0] if is_reader else others[0]
    rest = [i for i in fleet.instances if i is not alone]
    saved = fleet.store.copy()
    write_lost(fleet.store)
    await fleet.wait_current(UPDATE_BOUND_S)

    network.cut(alone.member)
    fleet.store.rejected.add(alone.member.instance)
    for _ in range(returns):
        fleet.store.restore(saved)
        write_lost(fleet.store, 8)
        await asyncio.sleep(1.0)
    fleet.store.put("op/config", b"new")
    await fleet.wait_current(UPDATE_BOUND_S, rest)
    assert alone.log.position.era == 1
    await asyncio.sleep(1.0)
    network.join(alone.member)
    fleet.store.rejected.clear()

    await fleet.wait_current(UPDATE_BOUND_S, [alone])
    await asyncio.sleep(3.0)
    assert all(i.synchronizer.is_fresh() for i in fleet.instances)


async def test_subscribers_leave_a_source_of_an_earlier_era(stack):
    """Guards against a source whose checks are stale and whose watch hangs.

    It calls itself fresh and goes on to send heartbeats of the earlier era.
    """
    fleet, readers, others = await settle(stack)
    blind = next(r for r in readers if r.publisher.receiver_count)
    followers = [o for o in others if blind in find_sources(readers, o)]
    saved = fleet.store.copy()
    write_lost(fleet.store)
    await fleet.wait_current(UPDATE_BOUND_S)

    # All wait for changes again; the pending watches are answered once more.
    await asyncio.sleep(1.0)
    blind.store.hangs = True
    blind.store.checked_era = fleet.store.era
    fleet.store.put("before", b"{}")
    await fleet.wait_current(UPDATE_BOUND_S)
    fleet.store.restore(saved)
    fleet.store.put("op/config", b"new")

    rest = [i for i in fleet.instances if i is not blind]
    assert followers
    await fleet.wait_current(UPDATE_BOUND_S, rest)
    assert blind.log.position.era == 1
    assert all(i.log.position.era == fleet.store.era for i in followers)


@pytest.mark.parametrize("is_standby", [False, True], ids=["source", "standby"])
async def test_source_of_an_earlier_era_is_not_fresh(stack, is_standby):
    """Guards against an instance that counts as up to date through an old source.

    The instance learns of the new era elsewhere, after it has subscribed.
    """
    store = RestorableStore()
    member = Member("source", "10.0.0.1:1", "a")
    source = Instance(store, member)
    await source.publisher.listen(stack, Address.from_text(member.address))
    store.put("a", b"v")
    task = asyncio.create_task(source.reader.run())
    stack.callback(task.cancel)
    log = RecordLog()
    subscriber = subscription.Subscription(
        "own",
        "source",
        member.address,
        log,
        lambda: None,
        lambda: None,
        is_standby=is_standby,
    )
    task = asyncio.create_task(subscriber.run())
    stack.callback(task.cancel)
    await asyncio.sleep(1.0)
    assert subscriber.is_fresh()

    newer = StorePosition(2, 1)
    log.merge([StoredValue("b", b"w", 1)], newer, "store", is_complete=True)
    # The next heartbeat of the source.
    await asyncio.sleep(publisher.STANDBY_HEARTBEAT_S + STEP_S)
    for _ in range(50):
        await asyncio.sleep(STEP_S)
        assert not subscriber.is_fresh()
    assert log.position == newer
    assert subscriber.is_peer_stale()

    # The source learns of the era with the store's next answer.
    store.restore(store.copy())
    store.put("c", b"x")
    async with asyncio.timeout(UPDATE_BOUND_S):
        while not subscriber.is_fresh():
            await asyncio.sleep(STEP_S)
    assert is_standby or log.position == (store.era, store.revision)


async def test_source_standing_still_in_the_earlier_era(stack):
    """Guards against a source that sends nothing more while the store returns."""
    fleet, readers, _ = await settle(stack)
    blind = next(r for r in readers if r.publisher.receiver_count)
    saved = fleet.store.copy()
    write_lost(fleet.store)
    await fleet.wait_current(UPDATE_BOUND_S)

    blind.publisher.stand_still()
    fleet.store.restore(saved)
    fleet.store.put("op/config", b"new")

    await fleet.wait_current(UPDATE_BOUND_S)


@pytest.mark.parametrize("outage_s", [0.0, 1.0, 3.0])
async def test_calls_after_the_return_are_bounded(stack, outage_s):
    """Guards against a fleet that reads all records at the same moment.

    Each reader reads all records once. Others do so only if they looked for the store
    themselves during the outage, also at most once.
    """
    fleet, readers, others = await settle(stack)
    names = {member.instance for member in select_readers(fleet.members)}
    saved = fleet.store.copy()
    write_lost(fleet.store)
    await fleet.wait_current(UPDATE_BOUND_S)

    if outage_s:
        fleet.reject_all()
        await asyncio.sleep(outage_s)
    fleet.store.restore(saved)
    fleet.store.rejected.clear()
    calls = fleet.count_calls()
    reads = {i.member.instance: i.store.reads for i in fleet.instances}
    fleet.store.put("op/config", b"new")
    await asyncio.sleep(COUNTED_S)

    used = {name: count - calls[name] for name, count in fleet.count_calls().items()}
    for instance in fleet.instances:
        name = instance.member.instance
        assert instance.store.reads - reads[name] <= MAX_READS
        assert used[name] <= (MAX_READER_CALLS if name in names else MAX_OTHER_CALLS)
    if outage_s < 1.0:
        assert sum(other.store.reads for other in others) == sum(
            reads[other.member.instance] for other in others
        )
    assert {i.member.instance for i in fleet.instances if i.is_reading()} == names
    assert all(i.synchronizer.is_fresh() for i in fleet.instances)
    assert len(readers) == len(names)


async def test_reader_does_not_trust_a_store_of_an_earlier_era(stack):
    """Guards against a reader that calls itself fresh but ignores all it reads.

    A peer has sent records of an era that the answers of the store have not reached.
    """
    store = RestorableStore()
    store.put("a", b"v")
    log = RecordLog()
    log.merge(
        [StoredValue("a", b"w", 1)], StorePosition(2, 1), "peer", is_complete=True
    )
    reader = StoreReader(RestorableConnection(store, "node"), "", log)
    task = asyncio.create_task(reader.run())
    stack.callback(task.cancel)

    for _ in range(100):
        await asyncio.sleep(0.02)
        assert not reader.is_fresh()
    assert log.position == StorePosition(2, 1)

    store.restore(store.copy())
    store.put("a", b"x")
    async with asyncio.timeout(UPDATE_BOUND_S):
        while log.position != (store.era, store.revision):
            await asyncio.sleep(0.01)
    assert reader.is_fresh()
