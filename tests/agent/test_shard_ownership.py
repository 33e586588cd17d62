import asyncio

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.agent.memory_overlay import MemoryNetwork, MemoryOverlay
from tests.fake_clock import FakeClock
from tests.fake_store import FakeStore
from verbenacross.agent.rendezvous import find_first
from verbenacross.agent.shard_order import ShardOrder, build_topic
from verbenacross.agent.shard_ownership import (
    LEASE_TTL_S,
    YIELD_AFTER_S,
    ShardOwnership,
)

SHARDS = 4
NAMES = ("a", "b", "c")


class View(MemoryNetwork):
    """What one agent believes to be alive."""

    def __init__(self, name: str) -> None:
        super().__init__(MemoryOverlay(*NAMES), name)

    def see(self, *names: str) -> None:
        self._overlay.alive = list(names)


class OwnershipMachine(RuleBasedStateMachine):
    """Agents with differing views, pauses, restarts and lost answers."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = FakeClock()
        self.store = FakeStore(self.clock)
        self.views = {name: View(name) for name in NAMES}
        self.agents = {name: self.start(name) for name in NAMES}
        self.earlier: list[ShardOwnership] = []

    def start(self, name: str) -> ShardOwnership:
        return ShardOwnership(name, SHARDS, self.views[name], self.store, self.clock)

    @rule(name=st.sampled_from(NAMES), seen=st.sets(st.sampled_from(NAMES)))
    def change_view(self, name: str, seen: set[str]) -> None:
        self.views[name].see(name, *(seen - {name}))

    @rule(name=st.sampled_from(NAMES))
    def step(self, name: str) -> None:
        asyncio.run(self.agents[name].step())

    @rule(names=st.sets(st.sampled_from(NAMES)), seconds=st.floats(0.1, 12))
    def wait(self, names: set[str], seconds: float) -> None:
        """The other agents are paused."""
        self.clock.now += seconds
        for name in names:
            asyncio.run(self.agents[name].step())

    @rule(name=st.sampled_from(NAMES), graceful=st.booleans())
    def restart(self, name: str, graceful: bool) -> None:
        old = self.agents[name]
        if graceful:
            asyncio.run(old.close())
        self.earlier.append(old)
        self.agents[name] = self.start(name)

    @rule(call=st.sampled_from(["put", "grant", "renew", "delete"]))
    def lose_answer(self, call: str) -> None:
        self.store.lose.append(call)

    @rule(down=st.booleans())
    def set_store(self, down: bool) -> None:
        self.store.down = down

    @invariant()
    def one_holder_at_most(self) -> None:
        holders = [*self.agents.values(), *self.earlier]
        for shard in range(SHARDS):
            assert sum(agent.holds(shard) for agent in holders) <= 1


TestOwnership = OwnershipMachine.TestCase
TestOwnership.settings = settings(
    max_examples=80, stateful_step_count=40, deadline=None
)


def build(clock: FakeClock, store: FakeStore, *alive: str) -> ShardOwnership:
    view = View("a")
    view.see("a", *alive)
    return ShardOwnership("a", SHARDS, view, store, clock)


async def wait(ownership: ShardOwnership, clock: FakeClock, seconds: int) -> None:
    for _ in range(seconds):
        clock.now += 1
        await ownership.step()


async def test_shards_stay_held_while_the_store_answers():
    """Guards against a holder that loses its lease without any fault."""
    clock = FakeClock()
    store = FakeStore(clock)
    ownership = build(clock, store)
    await ownership.step()
    calls = store.calls
    for _ in range(60):
        await wait(ownership, clock, 1)
        assert all(ownership.holds(shard) for shard in range(SHARDS))
    assert store.calls - calls <= 20


async def test_pause_ends_the_lease_before_any_store_call():
    """Guards against a paused holder that goes on when it wakes."""
    clock = FakeClock()
    ownership = build(clock, FakeStore(clock))
    await ownership.step()
    clock.now += LEASE_TTL_S - 0.9
    assert not ownership.holds(0)


@pytest.mark.parametrize("call", ["put", "grant", "renew"])
async def test_lost_answer_delays_but_does_not_prevent_ownership(call: str) -> None:
    """Guards against a shard that nobody owns after a lost answer."""
    clock = FakeClock()
    store = FakeStore(clock)
    ownership = build(clock, store)
    store.lose.append(call)
    await wait(ownership, clock, 5)
    assert all(ownership.holds(shard) for shard in range(SHARDS))


async def test_key_of_a_lost_answer_is_given_up_when_another_is_first():
    """Guards against a key that its writer renews but does not know of."""
    clock = FakeClock()
    store = FakeStore(clock)
    ownership = build(clock, store)
    ownership._network.see(*"abcde")
    firsts = [find_first("abcde", build_topic(shard)) for shard in range(SHARDS)]
    await ownership.step()
    ownership._network.see("a")
    store.lose.append("put")
    await ownership.step()
    ownership._network.see(*"abcde")
    await wait(ownership, clock, 20)
    assert len(store.values) == firsts.count("a")


async def test_restarted_agent_does_not_take_its_earlier_key_for_its_own():
    """Guards against a lease that ends with the process that knows it."""
    clock = FakeClock()
    store = FakeStore(clock)
    await build(clock, store).step()
    restarted = build(clock, store)
    await wait(restarted, clock, int(LEASE_TTL_S) - 1)
    assert not restarted.get_held()
    await wait(restarted, clock, 2)
    assert len(restarted.get_held()) == SHARDS


async def test_holder_yields_to_the_new_first_and_releases_on_close():
    """Guards against shards that stay with an agent that is no longer first."""
    clock = FakeClock()
    store = FakeStore(clock)
    ownership = build(clock, store)
    await ownership.step()
    ownership._network.see(*"abcde")
    firsts = [find_first("abcde", build_topic(shard)) for shard in range(SHARDS)]
    assert 0 < firsts.count("a") < SHARDS
    await wait(ownership, clock, int(YIELD_AFTER_S) + 1)
    assert len(store.values) == firsts.count("a")
    await ownership.close()
    assert store.values == {}


async def test_store_counts_as_lost_after_a_lease():
    """Guards the fallback of permits against short faults of the store."""
    clock = FakeClock()
    store = FakeStore(clock)
    ownership = build(clock, store)
    await ownership.step()
    store.down = True
    await wait(ownership, clock, 12)
    assert ownership.get_store_lost_at() is None
    await wait(ownership, clock, 4)
    assert ownership.get_store_lost_at() is not None
    store.down = False
    await wait(ownership, clock, 2)
    assert ownership.get_store_lost_at() is None


async def test_only_shards_with_services_are_acquired_and_outages_back_off():
    """Guards the store's budget when little is served and after an outage."""
    clock = FakeClock()
    store = FakeStore(clock)
    services: list[str] = []
    view = View("a")
    view.see("a")
    owner = ShardOwnership("a", SHARDS, view, store, clock, lambda: services)
    await wait(owner, clock, 5)
    assert store.calls == 0
    services.append("web")
    await wait(owner, clock, 1)
    assert list(owner.get_held()) == [owner.find_shard("web")]
    store.down = True
    await wait(owner, clock, 30)
    waits = [owner.draw_wait_s() for _ in range(200)]
    assert max(waits) <= 5
    assert sum(waits) / len(waits) > 2


def test_incremental_order_equals_the_full_one():
    """Guards against agents that disagree because they saw members in another order."""
    order = ShardOrder(8)
    for alive in (["a"], ["a", "b", "c"], ["b", "c"], ["b", "d"], ["a", "b", "d"]):
        order.update(alive)
        expected = [find_first(alive, build_topic(shard)) for shard in range(8)]
        assert order.firsts == expected
