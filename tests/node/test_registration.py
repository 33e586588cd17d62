"""Which instances register as sources of others, on virtual time without network.

Pattern: a fleet of hundreds starts, grows or loses its sources at the same moment. What
each instance sends to the store and receives about others must not grow with the square
of the fleet.
"""

from __future__ import annotations

import asyncio

import pytest

from measure.virtual_loop import run_in_virtual_time
from tests.fake_clock import FakeClock
from tests.fake_store import FakeStore
from verbenacross.feed.members import MEMBERS_PER_DOMAIN, Member, select_readers
from verbenacross.feed.record_log import RecordLog
from verbenacross.infrastructure.exceptions import StoreConflictError
from verbenacross.infrastructure.key_value_store import StoredValue, StorePosition
from verbenacross.node.registration import (
    DECREASE_DELAY_S,
    INCREASE_DELAY_S,
    LEASE_TTL_MS,
    REGISTRATION_SPREAD_S,
    SETTLING_TIME_S,
    SOURCE_DELAY_S,
    Registration,
)

PREFIX = "nodes/"
# A record reaches the other instances after this time: the reader collects changes.
PROPAGATION_S = 0.3
DOMAINS = "abcdef"
DOMAIN_SIZE = 52
FAST_LINK_MBPS, SLOW_LINK_MBPS = 200.0, 10.0
FAST_PER_DOMAIN = 2


class Store(FakeStore):
    """Replaces existing values under a condition, as the platform's store does."""

    async def put(self, key, value, expected, lease):
        current = self.values.get(key, (b"", 0, ""))[1]
        if current != expected:
            self.calls += 1
            raise StoreConflictError(key, expected, current)
        self.values.pop(key, None)
        return await super().put(key, value, expected, lease)


class Feed:
    """Takes the place of the synchronizer of an instance."""

    def __init__(self) -> None:
        self.has_no_source = False
        self.has_fresh_records = True
        self.count = 0

    def is_source(self) -> bool:
        return self.has_no_source

    def is_fresh(self) -> bool:
        return self.has_fresh_records

    def count_instances(self) -> int:
        return self.count


class FleetModel:
    """Instances that see the records of the store after ``PROPAGATION_S``."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.store = Store(self.clock)
        self.feeds: dict[str, Feed] = {}
        self.visible: list[Member] = []
        self.tasks: dict[str, asyncio.Task[None]] = {}

    def start(self, name: str, domain: str, link_mbps=SLOW_LINK_MBPS) -> None:
        log = RecordLog()
        log.merge((), StorePosition(0, 1), "store", is_complete=True)
        member = Member(name, "10.0.0.1:1", domain, link_mbps)
        feed = self.feeds[name] = Feed()
        registration = Registration(
            self.store, log, feed, lambda: self.visible, PREFIX, member
        )
        self.tasks[name] = asyncio.create_task(registration.run())

    async def run(self, length_s: float) -> None:
        """Runs for a while; the store's clock follows the loop's."""
        loop = asyncio.get_running_loop()
        start = self.clock.now - loop.time()
        end = loop.time() + length_s
        while loop.time() < end:
            await asyncio.sleep(0.05)
            self.clock.now = start + loop.time()
            loop.call_later(PROPAGATION_S, self.show, await self.read())

    async def read(self) -> list[Member]:
        calls = self.store.calls
        snapshot = await self.store.read_prefix(PREFIX)
        self.store.calls = calls
        return [decode(value) for value in snapshot.values]

    def show(self, members: list[Member]) -> None:
        self.visible = members


def decode(stored: StoredValue) -> Member:
    assert stored.value is not None
    return Member.from_data(stored.key.removeprefix(PREFIX), stored.value)


async def start_fleet(fleet: FleetModel) -> None:
    for domain in DOMAINS:
        for number in range(DOMAIN_SIZE):
            is_fast = number < FAST_PER_DOMAIN
            fleet.start(
                f"{domain}-{number}",
                domain,
                FAST_LINK_MBPS if is_fast else SLOW_LINK_MBPS,
            )
    await fleet.run(REGISTRATION_SPREAD_S + 2 * PROPAGATION_S)


def test_few_instances_of_a_large_fleet_register():
    async def play():
        fleet = FleetModel()
        await start_fleet(fleet)
        members = await fleet.read()
        per_domain = [
            sum(member.failure_domain == domain for member in members)
            for domain in DOMAINS
        ]
        assert all(count >= MEMBERS_PER_DOMAIN for count in per_domain)
        # A quarter: those whose turn came before they saw enough others.
        assert all(count <= DOMAIN_SIZE / 4 for count in per_domain)
        # Those with fast links read, as each sends every change to its domain.
        assert {reader.link_mbps for reader in select_readers(members)} == {
            FAST_LINK_MBPS
        }
        # A lease, a record and at most two renewals each.
        assert fleet.store.calls <= 4 * len(members)

    run_in_virtual_time(play())


def test_fleet_without_changes_only_renews_few_leases():
    async def play():
        fleet = FleetModel()
        await start_fleet(fleet)
        members = await fleet.read()
        before = fleet.store.calls

        await fleet.run(40.0)

        assert await fleet.read() == members
        assert fleet.store.calls - before <= 40.0 / 3.0 * len(members)

    run_in_virtual_time(play())


def test_members_that_ended_are_replaced():
    async def play():
        fleet = FleetModel()
        await start_fleet(fleet)
        for member in await fleet.read():
            fleet.tasks[member.instance].cancel()

        await fleet.run(12.0 + REGISTRATION_SPREAD_S + 1.0)

        readers = select_readers(await fleet.read())
        assert len(readers) == len(DOMAINS)
        assert not any(fleet.tasks[reader.instance].done() for reader in readers)

    run_in_virtual_time(play())


def test_instance_that_finds_no_source_registers_before_records_expire():
    """All members end at once, and their records stay until the leases end."""

    async def play():
        fleet = FleetModel()
        await start_fleet(fleet)
        ended = {member.instance for member in await fleet.read()}
        for name in ended:
            fleet.tasks[name].cancel()
        for name, feed in fleet.feeds.items():
            feed.has_no_source = name not in ended

        await fleet.run(SOURCE_DELAY_S + REGISTRATION_SPREAD_S / 2)

        alive = {member.instance for member in await fleet.read()} - ended
        assert len({name.partition("-")[0] for name in alive}) == len(DOMAINS)

    run_in_virtual_time(play())


@pytest.mark.parametrize("lost", ["grant", "put"])
def test_lost_response_leaves_one_record(lost):
    async def play():
        fleet = FleetModel()
        fleet.store.lose.append(lost)
        fleet.start("a-0", "a")

        await fleet.run(REGISTRATION_SPREAD_S + 30.0)

        assert [member.instance for member in await fleet.read()] == ["a-0"]

    run_in_virtual_time(play())


def test_number_of_instances_follows_lasting_changes():
    """Limits that all instances share must not jump with each reconnection."""

    async def play():
        fleet = FleetModel()
        fleet.start("a-0", "a")
        feed = fleet.feeds["a-0"]
        feed.count = 40
        await fleet.run(REGISTRATION_SPREAD_S + 1.0)
        assert (await fleet.read())[0].instances == 40

        feed.count = 42
        await fleet.run(INCREASE_DELAY_S + DECREASE_DELAY_S + 1.0)
        assert (await fleet.read())[0].instances == 40

        feed.count = 50
        await fleet.run(INCREASE_DELAY_S + 1.0)
        assert (await fleet.read())[0].instances == 50

        feed.count = 1
        await fleet.run(DECREASE_DELAY_S - 1.0)
        assert (await fleet.read())[0].instances == 50
        await fleet.run(2.0)
        assert (await fleet.read())[0].instances == 1

    run_in_virtual_time(play())


@pytest.mark.parametrize("count", [DOMAIN_SIZE, 0], ids=["reader", "replacement"])
def test_subscriptions_during_an_outage_are_not_counted(count):
    """Instances without a fresh source are subscribed to several members at once.

    The sum of the reported numbers divides the budgets of probes and retries; it rose
    from 38 to 222 after an outage of 8 s in which the leases expired.
    """

    async def play():
        fleet = FleetModel()
        fleet.start("a-0", "a", FAST_LINK_MBPS)
        fleet.feeds["a-0"].count = count
        await fleet.run(REGISTRATION_SPREAD_S + 2 * INCREASE_DELAY_S)
        assert [member.instances for member in await fleet.read()] == [count]

        fleet.feeds["a-0"].has_fresh_records = False
        fleet.feeds["a-0"].count = 6 * DOMAIN_SIZE
        await fleet.run(4 * INCREASE_DELAY_S)
        assert [member.instances for member in await fleet.read()] == [count]
        fleet.clock.now += LEASE_TTL_MS / 1_000
        await fleet.run(REGISTRATION_SPREAD_S + 2 * INCREASE_DELAY_S)
        assert [member.instances for member in await fleet.read()] == [count]
        fleet.feeds["a-0"].has_fresh_records = True
        await fleet.run(SETTLING_TIME_S - INCREASE_DELAY_S)
        fleet.feeds["a-0"].count = count
        await fleet.run(2 * DECREASE_DELAY_S)

        assert [member.instances for member in await fleet.read()] == [count]

    run_in_virtual_time(play())
