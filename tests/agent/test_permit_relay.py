import asyncio
from typing import Any

from tests.agent.memory_overlay import MemoryOverlay
from tests.fake_clock import FakeClock
from tests.fake_store import FakeStore
from verbenacross.agent.peer_sender import PeerSender
from verbenacross.agent.permit_coordinator import REBUILD_WAIT_S
from verbenacross.agent.permit_relay import PermitRelay
from verbenacross.agent.service_policies import ServicePolicies
from verbenacross.agent.shard_ownership import ShardOwnership
from verbenacross.infrastructure.instance_list import AGENT_SERVICE, Instance
from verbenacross.policy import PolicyTable
from verbenacross.protocol.messages import PermitReport, PermitRequest
from verbenacross.settings import Address
from verbenacross.upstreams import (
    ObservationReporter,
    ObservationTable,
    UpstreamDirectory,
)

ADDRESS = Address("127.0.0.1", 80)


class Agents:
    """Relays of several agents over one store; one upstream, one slot for long work."""

    def __init__(self, *names: str) -> None:
        self.clock = FakeClock()
        self.store = FakeStore(self.clock)
        self.overlay = MemoryOverlay(*names)
        self.granted: dict[str, list[Any]] = {name: [] for name in names}
        self.owners: dict[str, ShardOwnership] = {}
        self.relays: dict[str, PermitRelay] = {}
        self.paused: set[str] = set()
        self.observations = ObservationTable(self.clock)
        directory = UpstreamDirectory()
        agents = [Instance(name, AGENT_SERVICE, ADDRESS, "a") for name in names]
        directory.replace([*agents, Instance("u0", "web", ADDRESS, "a")])
        for name in names:
            self._add(name, directory)

    def _add(self, name: str, directory: UpstreamDirectory) -> None:
        network = self.overlay.networks[name]
        owner = ShardOwnership(name, 1, network, self.store, self.clock)
        relay = PermitRelay(
            name,
            network,
            PeerSender(network),
            owner,
            directory,
            self.observations,
            ServicePolicies(PolicyTable()),
            self.granted[name].append,
            self.clock,
        )
        network.messages.subscribe(lambda m: relay.take_from_peer(m.sender, m.message))
        self.owners[name] = owner
        self.relays[name] = relay

    async def wait(self, seconds: float) -> None:
        for _ in range(int(seconds * 2)):
            self.clock.now += 0.5
            for name, owner in self.owners.items():
                if name not in self.paused:
                    await owner.step()
            await self.exchange()

    async def exchange(self) -> None:
        for _ in range(6):
            await asyncio.sleep(0)
            self.overlay.deliver(1)

    async def ask(self, name: str, permit: str) -> bool:
        request = PermitRequest(permit, "web", 2_000, (), 1)
        self.relays[name].take_from_entry(request)
        await self.exchange()
        return any(grant.permit == permit for grant in self.granted[name])

    def find_holder(self) -> str:
        (holder,) = [name for name, owner in self.owners.items() if owner.holds(0)]
        return holder


async def test_all_agents_ask_the_holder_and_it_keeps_the_share():
    """Guards against a share that each agent gives out for itself."""
    agents = Agents("a", "b", "c")
    await agents.wait(REBUILD_WAIT_S + 2)
    assert [await agents.ask(name, f"p-{name}") for name in "abc"].count(True) == 1


async def test_request_that_reaches_another_agent_is_sent_on_to_the_holder():
    """Guards against requests lost while views of the members differ."""
    agents = Agents("a", "b")
    await agents.wait(REBUILD_WAIT_S + 2)
    holder = agents.find_holder()
    other = "b" if holder == "a" else "a"
    agents.overlay.alive = [other]
    await agents.wait(1)
    await agents.ask(other, "p1")
    assert await agents.ask(other, "p1")


async def test_new_coordinator_waits_for_reports():
    """Guards against slots given out again after the death of the coordinator."""
    agents = Agents("a", "b")
    await agents.wait(REBUILD_WAIT_S + 2)
    holder = agents.find_holder()
    other = "b" if holder == "a" else "a"
    assert await agents.ask(other, "p1")
    agents.paused.add(holder)
    agents.overlay.cut.add(holder)
    agents.overlay.alive = [other]
    await agents.wait(9)
    while not agents.owners[other].holds(0):
        await agents.wait(0.5)
    assert not await agents.ask(other, "p2")
    agents.relays[other].take_from_entry(PermitReport("p1", "web", "u0"))
    await agents.wait(REBUILD_WAIT_S)
    assert not await agents.ask(other, "p2")


async def test_closing_coordinator_hands_its_permits_over():
    """Guards against slots given out again after a restart of the coordinator."""
    agents = Agents("a", "b")
    await agents.wait(REBUILD_WAIT_S + 2)
    holder = agents.find_holder()
    other = "b" if holder == "a" else "a"
    assert await agents.ask(holder, "p1")
    await agents.owners[holder].close()
    await agents.exchange()
    assert agents.relays[other].dump_state()["web"]["held"] == {"u0": 1}


async def test_store_outage_leaves_one_coordinator_on_the_side_of_the_majority():
    """Guards against no long work, or twice the share, while the store is away."""
    agents = Agents("a", "b", "c")
    agents.store.down = True
    await agents.wait(5)
    assert not await agents.ask("a", "p0")
    await agents.wait(10)
    for name in "abc":
        await agents.ask(name, f"p-{name}")
    assert sum(map(len, agents.granted.values())) == 1
    alone = Agents("a", "b", "c")
    alone.store.down = True
    alone.overlay.alive = ["a"]
    await alone.wait(15)
    assert not await alone.ask("a", "p1")


async def test_draining_upstream_gets_no_permit():
    """Guards against long work on an upstream that leaves."""
    agents = Agents("a")
    await agents.wait(REBUILD_WAIT_S + 2)
    ObservationReporter(agents.observations, "a").report_state("u0", "draining")
    assert not await agents.ask("a", "p1")
