import asyncio

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.agent.memory_overlay import MemoryNetwork, MemoryOverlay
from tests.fake_clock import FakeClock
from tests.fake_store import FakeStore
from verbenacross.agent.rendezvous import find_preferred
from verbenacross.agent.shard_assignment import ShardAssignment, build_topic
from verbenacross.agent.shard_ownership import (
    LEASE_TTL_S,
    RELEASE_DELAY_S,
    ShardOwnership,
)

SHARDS = 4
NAMES = ("a", "b", "c")


class AgentView(MemoryNetwork):
    """Network whose set of live agents is set by the test, for one agent only."""

    def __init__(self, name: str) -> None:
        super().__init__(MemoryOverlay(*NAMES), name)

    def set_alive(self, *names: str) -> None:
        self._overlay.alive = list(names)


class OwnershipMachine(RuleBasedStateMachine):
    """Agents with inconsistent membership, pauses, restarts and lost responses."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = FakeClock()
        self.store = FakeStore(self.clock)
        self.views = {name: AgentView(name) for name in NAMES}
        self.agents = {name: self.start(name) for name in NAMES}
        self.replaced: list[ShardOwnership] = []

    def start(self, name: str) -> ShardOwnership:
        return ShardOwnership(name, SHARDS, self.views[name], self.store, self.clock)

    @rule(name=st.sampled_from(NAMES), others=st.sets(st.sampled_from(NAMES)))
    def change_view(self, name: str, others: set[str]) -> None:
        self.views[name].set_alive(name, *(others - {name}))

    @rule(name=st.sampled_from(NAMES))
    def step(self, name: str) -> None:
        asyncio.run(self.agents[name].step())

    @rule(names=st.sets(st.sampled_from(NAMES)), seconds=st.floats(0.1, 12))
    def wait(self, names: set[str], seconds: float) -> None:
        """Advances the clock; only the named agents run, the others are paused."""
        self.clock.now += seconds
        for name in names:
            asyncio.run(self.agents[name].step())

    @rule(name=st.sampled_from(NAMES), graceful=st.booleans())
    def restart(self, name: str, graceful: bool) -> None:
        old = self.agents[name]
        if graceful:
            asyncio.run(old.close())
        self.replaced.append(old)
        self.agents[name] = self.start(name)

    @rule(call=st.sampled_from(["put", "grant", "renew", "delete"]))
    def lose_answer(self, call: str) -> None:
        self.store.lose.append(call)

    @rule(down=st.booleans())
    def set_store(self, down: bool) -> None:
        self.store.down = down

    @invariant()
    def one_holder_at_most(self) -> None:
        holders = [*self.agents.values(), *self.replaced]
        for shard in range(SHARDS):
            assert sum(agent.holds(shard) for agent in holders) <= 1


TestOwnership = OwnershipMachine.TestCase
TestOwnership.settings = settings(
    max_examples=80, stateful_step_count=40, deadline=None
)


def build(clock: FakeClock, store: FakeStore, *alive: str) -> ShardOwnership:
    view = AgentView("a")
    view.set_alive("a", *alive)
    return ShardOwnership("a", SHARDS, view, store, clock)


async def wait(ownership: ShardOwnership, clock: FakeClock, seconds: int) -> None:
    for _ in range(seconds):
        clock.now += 1
        await ownership.step()


async def test_shards_stay_held_while_the_store_answers():
    """A holder must not lose its lease while the store is healthy."""
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
    """A holder that resumes after a pause must not act on an expired lease."""
    clock = FakeClock()
    ownership = build(clock, FakeStore(clock))
    await ownership.step()
    clock.now += LEASE_TTL_S - 0.9
    assert not ownership.holds(0)


@pytest.mark.parametrize("call", ["put", "grant", "renew"])
async def test_lost_answer_delays_but_does_not_prevent_ownership(call: str) -> None:
    """A lost store response must not leave a shard without an owner."""
    clock = FakeClock()
    store = FakeStore(clock)
    ownership = build(clock, store)
    store.lose.append(call)
    await wait(ownership, clock, 5)
    assert all(ownership.holds(shard) for shard in range(SHARDS))


async def test_key_of_a_lost_answer_is_given_up_when_another_is_first():
    """A key written by a call whose response was lost must not be kept alive.

    The writer does not know of the key, yet renews the lease under which it is stored.
    """
    clock = FakeClock()
    store = FakeStore(clock)
    ownership = build(clock, store)
    ownership._network.set_alive(*"abcde")
    preferred_owners = [
        find_preferred("abcde", build_topic(shard)) for shard in range(SHARDS)
    ]
    await ownership.step()
    ownership._network.set_alive("a")
    store.lose.append("put")
    await ownership.step()
    ownership._network.set_alive(*"abcde")
    await wait(ownership, clock, 20)
    assert len(store.values) == preferred_owners.count("a")


async def test_restarted_agent_does_not_take_its_earlier_key_for_its_own():
    """A restarted agent cannot renew the lease of its predecessor.

    It must wait until that lease expires instead of adopting the key.
    """
    clock = FakeClock()
    store = FakeStore(clock)
    await build(clock, store).step()
    restarted = build(clock, store)
    await wait(restarted, clock, int(LEASE_TTL_S) - 1)
    assert not restarted.get_held()
    await wait(restarted, clock, 2)
    assert len(restarted.get_held()) == SHARDS


async def test_holder_yields_to_the_new_first_and_releases_on_close():
    """A shard must not stay with an agent that is no longer its preferred owner."""
    clock = FakeClock()
    store = FakeStore(clock)
    ownership = build(clock, store)
    await ownership.step()
    ownership._network.set_alive(*"abcde")
    preferred_owners = [
        find_preferred("abcde", build_topic(shard)) for shard in range(SHARDS)
    ]
    assert 0 < preferred_owners.count("a") < SHARDS
    await wait(ownership, clock, int(RELEASE_DELAY_S) + 1)
    assert len(store.values) == preferred_owners.count("a")
    await ownership.close()
    assert store.values == {}


async def test_store_counts_as_lost_after_a_lease():
    """A short store fault must not trigger permit coordination without a lease."""
    clock = FakeClock()
    store = FakeStore(clock)
    ownership = build(clock, store)
    await ownership.step()
    store.down = True
    await wait(ownership, clock, 12)
    assert ownership.get_store_unavailable_at() is None
    await wait(ownership, clock, 4)
    assert ownership.get_store_unavailable_at() is not None
    store.down = False
    await wait(ownership, clock, 2)
    assert ownership.get_store_unavailable_at() is None


async def test_only_shards_with_services_are_acquired_and_outages_back_off():
    """Limits the store calls of agents with few services and after a store outage."""
    clock = FakeClock()
    store = FakeStore(clock)
    services: list[str] = []
    view = AgentView("a")
    view.set_alive("a")
    ownership = ShardOwnership("a", SHARDS, view, store, clock, lambda: services)
    await wait(ownership, clock, 5)
    assert store.calls == 0
    services.append("web")
    await wait(ownership, clock, 1)
    assert list(ownership.get_held()) == [ownership.find_shard("web")]
    store.down = True
    await wait(ownership, clock, 30)
    waits = [ownership.draw_step_delay_s() for _ in range(200)]
    assert max(waits) <= 5
    assert sum(waits) / len(waits) > 2


def test_incremental_order_equals_the_full_one():
    """Agents that learn of members in a different order must agree on the owners."""
    assignment = ShardAssignment(8)
    for alive in (["a"], ["a", "b", "c"], ["b", "c"], ["b", "d"], ["a", "b", "d"]):
        assignment.update(alive)
        expected = [find_preferred(alive, build_topic(shard)) for shard in range(8)]
        assert assignment.preferred_owners == expected
