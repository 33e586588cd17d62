"""Measures the cost of sharing upstream state between agents.

``python -m measure.knowledge`` prints one JSON object: seconds from a drain signal at
one entry until the last entry knows it, bytes and CPU time of an agent at several
fleet sizes, store calls per second by number of shards, and the time to get a permit.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import os
import statistics
import sys
import threading
import time
from typing import TYPE_CHECKING, Any

from standins.fleet import HOST, Fleet, call
from verbenacross.agent.observation_broadcaster import BROADCAST_KINDS
from verbenacross.entry.agent_link import AgentLink
from verbenacross.infrastructure.instance_list import Instance
from verbenacross.limits import PermitClient
from verbenacross.policy import Policy, PolicyTable
from verbenacross.policy.policy import RequestClass
from verbenacross.protocol import decode_message, encode_message
from verbenacross.protocol.messages import Observation, Observations
from verbenacross.routing import RequestContext
from verbenacross.settings import Address, EntrySettings
from verbenacross.upstreams import (
    ObservationReporter,
    ObservationTable,
    UpstreamDirectory,
)
from verbenacross.upstreams.directory_replica import (
    DirectoryReplica,
    hash_bytes,
    split_entries,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

MS_PER_S = 1_000
WINDOW_S = 10.0
SETTLE_S = 8.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def start_agents(fleet: Fleet, count: int, **settings: Any) -> list[str]:
    """Starts agents without entries and waits until all know each other."""
    names = [f"instance-{index}" for index in range(count)]
    for name in names:
        fleet.add_instance(name, agent=settings, with_entry=False)
    fleet.publish_instances()
    fleet.wait_ready()
    fleet.wait_until(lambda: all(count_alive(fleet, name) == count for name in names))
    return names


def count_alive(fleet: Fleet, name: str) -> int:
    """Returns the number of members that an agent considers alive."""
    return int(fleet.read_state(name)["knowledge"]["alive"])


def read_cpu_s(fleet: Fleet, name: str) -> float:
    """Returns the CPU seconds that an agent has used so far."""
    process = fleet.processes[f"{name}-agent"]
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_memory_mb(fleet: Fleet, name: str) -> float:
    """Returns the resident memory of an agent in MB of 10^6 bytes."""
    process = fleet.processes[f"{name}-agent"]
    with open(f"/proc/{process.pid}/statm") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def read_bytes(fleet: Fleet, name: str) -> dict[str, int]:
    """Returns the bytes that an agent has exchanged with peers so far."""
    return dict(fleet.read_state(name)["peers"]["bytes"])


def measure_resource_usage(fleet: Fleet, names: Sequence[str]) -> dict[str, float]:
    """Returns the mean resource usage of the agents over ``WINDOW_S``.

    The state dumps, which list every upstream, are read outside the window in which CPU
    time is measured.
    """
    memory_mb = [read_memory_mb(fleet, name) for name in names]
    bytes_before = [read_bytes(fleet, name) for name in names]
    cpu_before = [read_cpu_s(fleet, name) for name in names]
    started = time.monotonic()
    time.sleep(WINDOW_S)
    elapsed_s = time.monotonic() - started
    used_s = [
        read_cpu_s(fleet, n) - before
        for n, before in zip(names, cpu_before, strict=True)
    ]
    bytes_after = [read_bytes(fleet, name) for name in names]

    def average(field: str) -> int:
        pairs = zip(bytes_before, bytes_after, strict=True)
        return round(statistics.mean((b[field] - a[field]) for a, b in pairs))

    return {
        "cpu_percent": round(statistics.mean(used_s) / elapsed_s * 100, 2),
        "sent_bytes_per_s": round(average("sent") / elapsed_s),
        "received_bytes_per_s": round(average("received") / elapsed_s),
        "memory_mb": round(statistics.mean(memory_mb), 1),
    }


def measure_drain(instances: int, rounds: int) -> dict[str, Any]:
    """Returns seconds from a response with the drain signal until all entries know."""
    seconds = []
    with Fleet() as fleet:
        upstreams = [fleet.add_upstream("web", index) for index in range(rounds + 1)]
        names = [f"instance-{index}" for index in range(instances)]
        for name in names:
            fleet.add_instance(name)
        fleet.publish_instances()
        fleet.write_policy("web", 1, measuring={"probes_per_second": 0})
        fleet.wait_ready()
        fleet.wait_until(lambda: all(count_alive(fleet, n) == instances for n in names))
        time.sleep(2)
        for upstream in upstreams[:rounds]:
            fleet.set_behaviour(upstream, draining=True)
            url = fleet.get_entry_url(names[0]) + "/web/x"
            while call(url)[1].get("X-Upstream") != upstream:
                pass
            seconds.append(wait_until_draining(fleet, names, upstream))
    return {
        "instances": instances,
        "rounds": rounds,
        "seconds_median": round(statistics.median(seconds), 3),
        "seconds_max": round(max(seconds), 3),
    }


def wait_until_draining(fleet: Fleet, names: Sequence[str], upstream: str) -> float:
    """Returns the seconds until every entry lists an upstream as draining."""

    def is_draining_everywhere() -> bool:
        states = (fleet.read_state(name, "entry") for name in names)
        return all(upstream in state["draining"] for state in states)

    return fleet.wait_until(is_draining_everywhere)


def measure_agents(upstreams: int, agents: int) -> dict[str, Any]:
    """Returns the usage of idle agents whose listed upstreams do not exist."""
    with Fleet() as fleet:
        fleet.instances = [
            {
                "id": f"upstream-{index:06}",
                "service": f"service-{index // 25}",
                "address": f"{HOST}:9",
                "failure_domain": f"domain-{index % 4}",
                "state": "live",
            }
            for index in range(upstreams)
        ]
        names = start_agents(fleet, agents)
        time.sleep(SETTLE_S)
        readers = [n for n in names if fleet.read_state(n)["knowledge"]["reader"]]
        others = [name for name in names if name not in readers]
        result = {"upstreams": upstreams, "agents": agents}
        return {
            **result,
            "readers": measure_resource_usage(fleet, readers),
            "others": measure_resource_usage(fleet, others) if others else None,
        }


def measure_store_calls(shards: int, agents: int) -> dict[str, Any]:
    """Returns store calls per second for leases when nothing changes."""
    with Fleet() as fleet:
        names = start_agents(fleet, agents, ownership_shards=shards)
        for service in find_service_per_shard(shards):
            fleet.write_policy(service, 1, measuring={"probes_per_second": 0})
        fleet.wait_until(lambda: count_held_shards(fleet, names) == shards)
        time.sleep(SETTLE_S)
        before = count_lease_calls(fleet)
        time.sleep(2 * WINDOW_S)
        calls = count_lease_calls(fleet) - before
    rate = calls / (2 * WINDOW_S)
    return {"shards": shards, "agents": agents, "calls_per_s": round(rate, 2)}


def find_service_per_shard(shards: int) -> list[str]:
    """Returns one service name for each shard."""
    found: dict[int, str] = {}
    for index in itertools.count():
        if len(found) == shards:
            return list(found.values())
        name = f"service-{index}"
        found.setdefault(hash_bytes(name.encode()) % shards, name)
    raise AssertionError("unreachable")


def count_held_shards(fleet: Fleet, names: Sequence[str]) -> int:
    """Returns the number of shards that all agents together hold."""
    states = (fleet.read_state(name)["knowledge"] for name in names)
    return sum(len(state["shards_held"]) for state in states)


def count_lease_calls(fleet: Fleet) -> int:
    """Returns the number of store calls without watches.

    These are for leases and shard keys, as policies are watched.
    """
    _, _, body = call(f"{fleet.store_url}/control/calls")
    calls: dict[str, int] = json.loads(body)["calls"]
    return sum(count for kind, count in calls.items() if "watch" not in kind)


def measure_permits(count: int) -> dict[str, Any]:
    """Returns the milliseconds to get a permit from the owner, directly or relayed.

    ``own_agent_ms`` is through the agent that owns the service, ``other_agent_ms``
    through another agent.
    """
    with Fleet() as fleet:
        fleet.add_upstream("web", 0, slots=100)
        names = start_agents(fleet, 2)
        fleet.write_policy("web", 1, upstreams={"slots": 100})
        holders: list[str] = []

        def find_holder() -> bool:
            for name in names:
                if fleet.read_state(name)["knowledge"]["owned_services"]:
                    holders[:] = [name]
                    return True
            return False

        # The agent that started alone hands some shards over to the second.
        time.sleep(SETTLE_S)
        fleet.wait_until(find_holder)
        other = next(name for name in names if name not in holders)
        return {
            "count": count,
            "own_agent_ms": asyncio.run(time_permits(fleet, holders[0], count)),
            "other_agent_ms": asyncio.run(time_permits(fleet, other, count)),
        }


def build_link(
    fleet: Fleet, name: str, observations: ObservationTable | None = None
) -> AgentLink:
    """Returns a link that connects to an agent as an entry does."""
    listen = Address(HOST, 9)
    agent = Address(HOST, fleet.ports[name].entry_link)
    settings = EntrySettings("measure", "a", listen, listen, agent, "")
    table = observations or ObservationTable()
    return AgentLink(settings, PolicyTable(), UpstreamDirectory(), table)


async def time_permits(fleet: Fleet, name: str, count: int) -> dict[str, float]:
    """Returns percentiles of the milliseconds to get a permit through an agent."""
    link = build_link(fleet, name)
    client = PermitClient(link.send)
    link.grants.subscribe(client.accept_grant)
    task = asyncio.create_task(link.run())
    while not link.synchronized:
        await asyncio.sleep(0.01)
    latencies_ms = []
    policy = Policy(1, "web", 1)
    for index in range(count):
        context = RequestContext(
            str(index),
            "web",
            policy,
            1,
            RequestClass("long", size="long"),
            True,
            time.monotonic() + 10,
        )
        started = time.perf_counter()
        upstream = await client.acquire(context)
        latencies_ms.append((time.perf_counter() - started) * MS_PER_S)
        client.release(context, upstream)
    task.cancel()
    latencies_ms.sort()
    return {
        "p50": round(latencies_ms[len(latencies_ms) // 2], 3),
        "p99": round(latencies_ms[len(latencies_ms) * 99 // 100], 3),
    }


def measure_observations(rate: int) -> dict[str, Any]:
    """Returns the usage of 4 agents while one entry reports ejections at a rate."""
    with Fleet() as fleet:
        names = start_agents(fleet, 4)
        time.sleep(SETTLE_S)
        thread = threading.Thread(
            target=lambda: asyncio.run(report_ejections(fleet, names[0], rate))
        )
        thread.start()
        time.sleep(2)
        usage = measure_resource_usage(fleet, names)
        thread.join()
    return {"observations_per_s": rate, **usage}


async def report_ejections(fleet: Fleet, name: str, rate: int) -> None:
    """Reports ejections, each of a new upstream, for longer than ``WINDOW_S``."""
    observations = ObservationTable()
    link = build_link(fleet, name, observations)
    reporter = ObservationReporter(observations, "measure")
    task = asyncio.create_task(link.run())
    for index in range(int(rate * (WINDOW_S + 6))):
        reporter.report_ejection(f"upstream-{index:06}", 20_000)
        await asyncio.sleep(1 / rate)
    task.cancel()


def measure_messages() -> dict[str, Any]:
    """Returns bytes and CPU microseconds per upstream and per observation."""
    address = Address("10.20.30.40", 8080)
    instances = [
        Instance(f"upstream-{i:06}", f"service-{i // 25}", address, "domain-1")
        for i in range(25_000)
    ]
    replica = DirectoryReplica(UpstreamDirectory())
    entries = replica.record_changes("reader", [(i.id, i) for i in instances])
    frames = [encode_message(part) for part in split_entries(entries, 1)]
    started = time.process_time()
    target = DirectoryReplica(UpstreamDirectory())
    for frame in frames:
        message: Any = decode_message(frame)
        target.merge(message.entries)
    directory_us = (time.process_time() - started) * 1e6 / len(instances)
    observations = [
        Observation(f"upstream-{i:06}", "instance-0001", BROADCAST_KINDS[1], 5, 30_000)
        for i in range(4_000)
    ]
    started = time.process_time()
    table = ObservationTable()
    size = 0
    for observation in observations:
        frame = encode_message(Observations((observation,)))
        size += len(frame)
        received: Any = decode_message(frame)
        table.merge(received.observations)
    observation_us = (time.process_time() - started) * 1e6 / len(observations)
    return {
        "bytes_per_upstream": round(sum(map(len, frames)) / len(instances), 1),
        "cpu_us_per_upstream": round(directory_us, 1),
        "largest_frame_bytes": max(map(len, frames)),
        "bytes_per_observation": round(size / len(observations), 1),
        "cpu_us_per_observation": round(observation_us, 1),
    }


def main() -> None:
    """Runs the selected measurements and prints the results as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--only", default="", help="name of one measurement")
    arguments = parser.parse_args()
    result: dict[str, Any] = {}
    steps: dict[str, Callable[[], Any]] = {
        "messages": measure_messages,
        "permits": lambda: measure_permits(1_000),
        "drain": lambda: measure_drain(arguments.instances, 6),
        "store_calls": lambda: [measure_store_calls(n, 4) for n in (4, 32, 256)],
        "observations": lambda: [measure_observations(rate) for rate in (5, 20)],
        "agents": lambda: [
            measure_agents(upstreams, agents)
            for upstreams, agents in ((100, 4), (5_000, 4), (25_000, 4), (100, 12))
        ],
    }
    for name, step in steps.items():
        if arguments.only in ("", name):
            result[name] = step()
            print(name, json.dumps(result[name]), file=sys.stderr, flush=True)
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
