"""Measures the time until every live agent has detected simultaneous failures."""

from __future__ import annotations

import asyncio
import statistics
import time
from contextlib import AsyncExitStack
from typing import Any, NamedTuple

from standins.fleet import HOST, SHARED_KEY, find_free_ports
from verbenacross.membership import choose_links
from verbenacross.membership.rendezvous import hash_text
from verbenacross.peers import AgentNetwork
from verbenacross.policy import PolicyTable, TableProgress
from verbenacross.settings import Address, AgentSettings

FLEET_SIZE = 24
JOIN_TIMEOUT_S = 20.0
DETECTION_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.02
SETTLE_S = 1.0


class Overlay(NamedTuple):
    """Ring neighbours that each agent monitors, and its links in total."""

    name: str
    ring_links: int
    peer_links: int


OVERLAYS = (
    Overlay("1 ring neighbour", 1, 1),
    Overlay("2 ring neighbours", 2, 2),
    Overlay("4 ring neighbours", 4, 4),
    Overlay("1 ring, 5 random", 1, 6),
    Overlay("2 ring, 4 random", 2, 6),
    Overlay("4 ring, 2 random", 4, 6),
)


class RunningNetwork(NamedTuple):
    """An agent network with the stack that closes it."""

    network: AgentNetwork
    stack: AsyncExitStack


async def measure_detection(
    overlay: Overlay, failures: int, rounds: int
) -> dict[str, Any]:
    """Returns seconds from the failure of adjacent agents to detection by all."""
    times = [await measure_round(overlay, failures) for _ in range(rounds)]
    return {
        "overlay": overlay.name,
        "failures": failures,
        "median_s": round(statistics.median(times), 2),
        "worst_s": round(max(times), 2),
    }


async def measure_round(overlay: Overlay, failures: int) -> float:
    """Starts a fleet, crashes adjacent agents and waits until all detected it."""
    ports = find_free_ports(FLEET_SIZE)
    addresses = [Address(HOST, port) for port in ports]
    agents = [await start(index, overlay, addresses) for index in range(FLEET_SIZE)]
    agents.sort(key=lambda agent: hash_text(agent.network.members.local.instance))
    try:
        networks = [agent.network for agent in agents]
        async with asyncio.timeout(JOIN_TIMEOUT_S):
            while any(
                len(network.get_live_members()) < FLEET_SIZE for network in networks
            ):
                await asyncio.sleep(POLL_INTERVAL_S)
        await asyncio.sleep(SETTLE_S)
        for network in networks:
            close_bootstrap_links(network, overlay)
        await asyncio.sleep(SETTLE_S)
        started = time.monotonic()
        await asyncio.gather(*(crash(agent) for agent in agents[:failures]))
        survivors = networks[failures:]
        async with asyncio.timeout(DETECTION_TIMEOUT_S):
            while any(
                len(network.get_live_members()) > FLEET_SIZE - failures
                for network in survivors
            ):
                await asyncio.sleep(POLL_INTERVAL_S)
        return time.monotonic() - started
    finally:
        await asyncio.gather(*(agent.stack.aclose() for agent in agents))


def close_bootstrap_links(network: AgentNetwork, overlay: Overlay) -> None:
    """Closes links that an agent needed only to discover its peers."""
    present = [member.instance for member in network.get_live_members()]
    instance = network.members.local.instance
    chosen = choose_links(instance, present, overlay.peer_links, overlay.ring_links)
    for link in network.get_links():
        if link.is_outgoing and link.peer not in chosen:
            link.schedule_close()


async def start(
    index: int, overlay: Overlay, addresses: list[Address]
) -> RunningNetwork:
    """Starts one agent network with the first three agents as seeds."""
    address = addresses[index]
    settings = AgentSettings(
        f"agent-{index}",
        f"domain-{index % 4}",
        address,
        address,
        address,
        "http://127.0.0.1:1",
        "http://127.0.0.1:1",
        SHARED_KEY,
        seeds=tuple(addresses[:3]),
        peer_links=overlay.peer_links,
    )
    network = AgentNetwork(settings, TableProgress(PolicyTable()))
    network.ring_links = overlay.ring_links
    stack = AsyncExitStack()
    await network.open(stack)
    return RunningNetwork(network, stack)


async def crash(agent: RunningNetwork) -> None:
    """Simulates a crash: aborts all connections and closes the listening port."""
    for link in agent.network.get_links():
        link.abort()
    await agent.stack.aclose()
