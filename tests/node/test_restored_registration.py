"""Registrations after the store was restored from a copy, on virtual time.

Every instance has its own view of the store's era, its own log, and learns of a return
from its calls or with the records.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import NamedTuple

import pytest

from measure.virtual_loop import run_in_virtual_time
from tests.fake_clock import FakeClock
from tests.node.test_registration import PREFIX, Feed, Store, decode
from verbenacross.feed.members import MEMBERS_PER_DOMAIN, Member, spread
from verbenacross.feed.record_log import RecordLog
from verbenacross.infrastructure.exceptions import StoreUnavailableError
from verbenacross.infrastructure.key_value_store import StoredValue, StorePosition
from verbenacross.node.registration import (
    INCREASE_DELAY_S,
    LEASE_TTL_MS,
    REGISTRATION_SPREAD_S,
    RENEW_INTERVAL_S,
    Registration,
)

FLEET_SIZE = 311
DOMAINS = "abcdef"
# Records reach an instance after this time and a share of the spread, in seconds.
PROPAGATION_S = 0.3
PROPAGATION_SPREAD_S = 0.5
STEP_S = 0.05
# Registered instances have their records back within this time of a return.
RESTORATION_BOUND_S = 3.0
# A lease and a record for each registered instance.
WRITES_PER_INSTANCE = 2


@pytest.fixture(autouse=True)
def repeatable_delays():
    """Renewals and retries are spread at random."""
    state = random.getstate()
    random.seed(1)
    yield
    random.setstate(state)


class StoreCopy(NamedTuple):
    values: dict[str, tuple[bytes, int, str]]
    leases: dict[str, float]
    ttls: dict[str, float]
    next_number: int


class RestorableStore(Store):
    """Gives out revisions and lease ids again after it was restored."""

    def __init__(self, clock: FakeClock) -> None:
        super().__init__(clock)
        self.era = 1
        self.numbers = 0
        self.owners: dict[tuple[int, str], str] = {}
        self._sequence = self.count(1)

    def count(self, first: int):
        for number in itertools.count(first):
            self.numbers = number
            yield number

    def copy(self) -> StoreCopy:
        return StoreCopy(
            dict(self.values), dict(self._leases), dict(self._ttls), self.numbers + 1
        )

    def restore(self, saved: StoreCopy) -> None:
        """Leases of the copy run on from the moment of the restoration."""
        self.values, self._ttls = dict(saved.values), dict(saved.ttls)
        self._leases = {
            lease: self.clock.now + saved.ttls[lease] for lease in saved.leases
        }
        self.numbers = saved.next_number - 1
        self._sequence = self.count(saved.next_number)
        self.era += 1

    @property
    def position(self) -> StorePosition:
        return StorePosition(self.era, max(1, self.numbers))

    def get_records(self) -> tuple[StoredValue, ...]:
        return tuple(StoredValue(k, v[0], v[1]) for k, v in self.values.items())


class StoreConnection:
    """The store as one instance sees it; ``era`` is the highest of its responses.

    ``delays`` holds how long the responses to some calls are under way, ``stale_era``
    the era that checks answer with if they are stale.
    """

    def __init__(self, store: RestorableStore, instance: str, log: RecordLog) -> None:
        self.store = store
        self.instance = instance
        self.log = log
        self.era = 0
        self.writes = 0
        self.delays: dict[str, float] = {}
        self.stale_era: int | None = None
        self.misuses: list[tuple[str, str]] = []

    async def check(self) -> int:
        if self.stale_era is not None:
            return self.stale_era
        return await self._call("check", self.store.check())

    async def grant_lease(self, ttl_ms: int) -> str:
        self.writes += 1
        lease = await self.store.grant_lease(ttl_ms)
        era = self.store.era
        self.store.owners[era, lease] = self.instance
        await asyncio.sleep(self.delays.get("grant", 0.0))
        if era < self.era:
            raise StoreUnavailableError("late response")
        self.era = era
        return lease

    async def put(self, key: str, value: bytes, expected: int, lease: str) -> int:
        self.writes += 1
        self._note_use("put", lease)
        return await self._call("put", self.store.put(key, value, expected, lease))

    async def renew_lease(self, lease: str) -> None:
        self._note_use("renew", lease)
        await self._call("renew", self.store.renew_lease(lease))

    async def revoke_lease(self, lease: str) -> None:
        self.writes += 1
        self._note_use("revoke", lease)
        await self._call("revoke", self.store.revoke_lease(lease))

    def _note_use(self, call: str, lease: str) -> None:
        """Notes the use of a lease by an instance that knows it may be another's."""
        known_era = max(self.era, self.log.position.era)
        if (
            known_era == self.store.era
            and self.store.owners.get((known_era, lease)) != self.instance
        ):
            self.misuses.append((call, lease))

    async def _call(self, name: str, call):
        try:
            return await call
        finally:
            await asyncio.sleep(self.delays.get(name, 0.0))
            self.era = max(self.era, self.store.era)


class InstanceModel:
    """An instance's registration, its log and its view of the store."""

    def __init__(self, store: RestorableStore, name: str, domain: str) -> None:
        self.log = RecordLog()
        self.store = StoreConnection(store, name, self.log)
        self.feed = Feed()
        self.members: dict[str, Member] = {}
        self.log.batches.subscribe(self.apply_batch)
        member = Member(name, "10.0.0.1:1", domain, 10.0)
        self.registration = Registration(
            self.store,
            self.log,
            self.feed,
            lambda: list(self.members.values()),
            PREFIX,
            member,
        )
        self.delay_s = PROPAGATION_S + PROPAGATION_SPREAD_S * spread(name)
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.task = asyncio.create_task(self.registration.run())

    def apply_batch(self, batch) -> None:
        """Keeps members that are only missing from the copy, as a node does."""
        for record in batch.records:
            if record.value is not None:
                self.members[record.key.removeprefix(PREFIX)] = decode(record)
            elif not batch.is_restored:
                self.members.pop(record.key.removeprefix(PREFIX), None)

    def merge(self, records: tuple[StoredValue, ...], position: StorePosition) -> None:
        self.log.merge(records, position, "store", is_complete=True)


class RestorableFleet:
    def __init__(self, count: int) -> None:
        self.clock = FakeClock()
        self.store = RestorableStore(self.clock)
        self.instances = [
            InstanceModel(self.store, f"{DOMAINS[i % 6]}-{i}", DOMAINS[i % 6])
            for i in range(count)
        ]
        self._sent: tuple[StoredValue, ...] | None = None

    def start(self) -> None:
        for instance in self.instances:
            instance.merge((), self.store.position)
            instance.start()

    async def run(self, length_s: float) -> None:
        """Runs for a while; the store's clock follows the loop's."""
        loop = asyncio.get_running_loop()
        start = self.clock.now - loop.time()
        end = loop.time() + length_s
        while loop.time() < end:
            await asyncio.sleep(STEP_S)
            self.clock.now = start + loop.time()
            # Leases expire with the next call.
            self.store._begin()
            state = self.store.get_records(), self.store.position
            if state != self._sent:
                self._sent = state
                for instance in self.instances:
                    loop.call_later(instance.delay_s, instance.merge, *state)

    def get_names(self) -> set[str]:
        return {key.removeprefix(PREFIX) for key in self.store.values}

    def count_writes(self) -> int:
        return sum(instance.store.writes for instance in self.instances)

    def get_misuses(self) -> list[tuple[str, str]]:
        return [use for instance in self.instances for use in instance.store.misuses]


@pytest.mark.parametrize("copied_after_s", [0.0, 0.5, 4.0, 9.0])
def test_records_are_back_soon_and_cost_two_writes_each(copied_after_s):
    """Guards against instances that lose their sources, or that all write at once.

    The copy holds none, some or all of the records.
    """

    async def play():
        fleet = RestorableFleet(FLEET_SIZE)
        fleet.start()
        await fleet.run(copied_after_s)
        saved = fleet.store.copy()
        await fleet.run(REGISTRATION_SPREAD_S + 6.0)
        registered = fleet.get_names()
        assert len(registered) >= MEMBERS_PER_DOMAIN * len(DOMAINS)
        before = fleet.count_writes()

        fleet.store.restore(saved)
        await fleet.run(RESTORATION_BOUND_S)

        assert fleet.get_names() >= registered
        writes = fleet.count_writes() - before
        assert writes <= WRITES_PER_INSTANCE * len(registered)
        await fleet.run(2 * LEASE_TTL_MS / 1_000)
        assert fleet.get_names() == registered
        assert fleet.get_misuses() == []

    run_in_virtual_time(play())


@pytest.mark.parametrize("between_s", [0.1, 0.6, 1.5])
def test_two_returns_cost_no_more_than_two_registrations(between_s):
    """Guards against instances that give up between two returns."""

    async def play():
        fleet = RestorableFleet(60)
        fleet.start()
        saved = fleet.store.copy()
        await fleet.run(REGISTRATION_SPREAD_S + 6.0)
        registered = fleet.get_names()
        before = fleet.count_writes()

        fleet.store.restore(saved)
        await fleet.run(between_s)
        fleet.store.restore(saved)
        await fleet.run(RESTORATION_BOUND_S)

        assert fleet.get_names() >= registered
        writes = fleet.count_writes() - before
        assert writes <= 2 * WRITES_PER_INSTANCE * len(registered)
        await fleet.run(2 * LEASE_TTL_MS / 1_000)
        assert fleet.get_names() == registered
        assert fleet.get_misuses() == []

    run_in_virtual_time(play())


async def register_alone(fleet: RestorableFleet) -> InstanceModel:
    """Returns the only instance, registered."""
    fleet.start()
    await fleet.run(REGISTRATION_SPREAD_S + 1.0)
    (instance,) = fleet.instances
    assert fleet.get_names() == {instance.store.instance}
    return instance


async def give_lease_to_another(fleet: RestorableFleet, saved: StoreCopy) -> str:
    """Restores the store, which grants the instance's lease to another one."""
    fleet.store.restore(saved)
    lease = await fleet.store.grant_lease(LEASE_TTL_MS)
    fleet.store.owners[fleet.store.era, lease] = "another"
    data = Member("another", "10.0.0.2:1", DOMAINS[0]).to_data()
    await fleet.store.put(PREFIX + "another", data, 0, lease)
    return lease


@pytest.mark.parametrize("source", ["log", "check"])
def test_old_lease_is_not_revoked_at_the_stop(source):
    """Guards against the record of another instance that ends with a stop.

    The instance learned of the era with the records or with the check at its stop; a
    check may be stale.
    """

    async def play():
        fleet = RestorableFleet(1)
        saved = fleet.store.copy()
        instance = await register_alone(fleet)
        assert instance.task is not None
        instance.task.cancel()
        old = instance.registration._lease
        if source == "log":
            instance.store.stale_era = fleet.store.era
        assert await give_lease_to_another(fleet, saved) == old
        if source == "log":
            instance.merge(fleet.store.get_records(), fleet.store.position)

        await instance.registration.close()

        assert instance.store.misuses == []
        await fleet.run(1.0)
        assert PREFIX + "another" in fleet.store.values

    run_in_virtual_time(play())


def test_lease_granted_before_the_return_is_not_taken_for_a_later_one():
    """Guards against a grant whose response arrives after the new era's records."""

    async def play():
        fleet = RestorableFleet(1)
        saved = fleet.store.copy()
        (instance,) = fleet.instances
        instance.store.delays["grant"] = 2.0
        fleet.start()
        while instance.store.writes == 0:
            await fleet.run(STEP_S)
        await give_lease_to_another(fleet, saved)
        instance.merge(fleet.store.get_records(), fleet.store.position)
        await fleet.run(2.0)
        instance.store.delays.clear()
        await fleet.run(REGISTRATION_SPREAD_S + 2 * RENEW_INTERVAL_S)

        assert instance.store.misuses == []
        name = instance.store.instance
        assert name in fleet.get_names()
        lease = fleet.store.values[PREFIX + name][2]
        assert fleet.store.owners[fleet.store.era, lease] == name

    run_in_virtual_time(play())


def test_renewal_that_shows_the_new_era_is_followed_by_a_new_registration():
    """Guards against a report that is written with the old revision and lease.

    The renewal succeeds, as the lease id was granted to another instance, and a change
    of the number of instances is due.
    """

    async def play():
        fleet = RestorableFleet(1)
        saved = fleet.store.copy()
        instance = await register_alone(fleet)
        instance.feed.count = 40
        await fleet.run(INCREASE_DELAY_S / 2)
        await give_lease_to_another(fleet, saved)
        # Renewal and report are due at the next update.
        instance.registration._renew_at = 0.0
        instance.registration._deviates_since = -INCREASE_DELAY_S
        # The era is known from the response to the renewal only.
        instance.delay_s = 5.0
        await fleet.run(RESTORATION_BOUND_S)

        assert instance.store.misuses == []
        name = instance.store.instance
        assert name in fleet.get_names()
        lease = fleet.store.values[PREFIX + name][2]
        assert fleet.store.owners[fleet.store.era, lease] == name

    run_in_virtual_time(play())


def test_instance_that_learns_of_the_return_before_its_log_writes_twice():
    """Guards against a write that meets the record in the copy and is repeated.

    The instance's own renewal shows the new era before its log has the records.
    """

    async def play():
        fleet = RestorableFleet(1)
        instance = await register_alone(fleet)
        saved = fleet.store.copy()
        before = instance.store.writes
        fleet.store.restore(saved)
        instance.registration._renew_at = 0.0
        await fleet.run(RESTORATION_BOUND_S)

        assert instance.store.writes - before == WRITES_PER_INSTANCE
        lease = fleet.store.values[PREFIX + instance.store.instance][2]
        assert fleet.store.owners[fleet.store.era, lease] == instance.store.instance

    run_in_virtual_time(play())
