"""Measures memory and CPU slopes and extrapolates them to the design scale.

Run as ``python -m measure.capacity``; prints a table and writes build/capacity.json.
Memory slopes come from the resident set of a fresh process at two sizes, the cost of a
call from the CPU time of a real entry under a known number of calls.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import subprocess
import sys
import time
from typing import NamedTuple

import aiohttp

from standins.fleet import Fleet

SMALL_COUNT = 500
LARGE_COUNT = 5_500
BYTES_PER_KIB = 1_024
TICKS_PER_S = 100
CALLS = 4_000
CONCURRENT_CALLS = 8
DESIGN_CALLS_PER_S = 5_700_000
DESIGN_UPSTREAMS = 25_000
DESIGN_POLICIES = 1_000
TARGET_UTILISATION = 0.6
OUTPUT = pathlib.Path("build/capacity.json")

MEMORY_SCRIPT = """
import json, sys
from verbenacross.policy import PolicyRecord, PolicyTable
from verbenacross.policy.policy_record import build_key
from verbenacross.infrastructure.instance_list import Instance
from verbenacross.settings import Address
from verbenacross.upstreams import UpstreamDirectory
import verbenacross.agent
kind, count = sys.argv[1], int(sys.argv[2])
def resident():
    return int(open("/proc/self/statm").read().split()[1]) * 4096
base = resident()
if kind == "records":
    kept = PolicyTable()
    for index in range(count):
        name = f"service-{index}"
        body = {"schema_version": 1, "service": name, "version": 1,
                "classes": [{"name": "long", "path_prefix": "/long", "size": "long"}]}
        key = build_key(name, 1)
        kept.put(PolicyRecord(key, index + 1, json.dumps(body).encode()))
else:
    kept = UpstreamDirectory()
    kept.replace(
        Instance(f"service-{i % 1000}-{i}", f"service-{i % 1000}",
                 Address(f"10.{i >> 16}.{(i >> 8) & 255}.{i & 255}", 8080), "domain-1")
        for i in range(count)
    )
print(base, resident())
"""


class Slope(NamedTuple):
    """Resident bytes of an agent's code without state, and those per item."""

    base_bytes: int
    bytes_per_item: float


def measure_memory(kind: str) -> Slope:
    """Returns the memory slope of ``records`` or ``instances``."""
    sizes = []
    base = 0
    for count in (SMALL_COUNT, LARGE_COUNT):
        result = subprocess.run(
            [sys.executable, "-c", MEMORY_SCRIPT, kind, str(count)],
            capture_output=True,
            check=True,
            text=True,
        )
        base, size = (int(text) for text in result.stdout.split())
        sizes.append(size)
    return Slope(base, (sizes[1] - sizes[0]) / (LARGE_COUNT - SMALL_COUNT))


def read_cpu_s(pid: int) -> float:
    """Returns the CPU time of a process, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def send_calls(url: str, count: int) -> float:
    """Sends calls, ``CONCURRENT_CALLS`` at a time; returns the elapsed seconds."""
    pending = iter(range(count))

    async def send_pending(session: aiohttp.ClientSession) -> None:
        for _ in pending:
            async with session.get(url, headers={"X-Work-Ms": "1"}) as response:
                await response.read()

    async with aiohttp.ClientSession() as session:
        started = time.monotonic()
        workers = [send_pending(session) for _ in range(CONCURRENT_CALLS)]
        await asyncio.gather(*workers)
        return time.monotonic() - started


def measure_cpu_s_per_call() -> float:
    """Returns the CPU time that an entry spends on one call, in seconds."""
    with Fleet() as fleet:
        for index in range(2):
            fleet.add_upstream("stationfeed", index, slots=64)
        fleet.add_instance("entry-1")
        fleet.publish_instances()
        fleet.write_policy("stationfeed", 1, upstreams={"slots": 64})
        fleet.wait_ready()
        url = fleet.get_entry_url("entry-1") + "/stationfeed/x"
        asyncio.run(send_calls(url, CALLS // 4))
        pid = fleet.processes["entry-1-entry"].pid
        before_s = read_cpu_s(pid)
        asyncio.run(send_calls(url, CALLS))
        return (read_cpu_s(pid) - before_s) / CALLS


def main() -> None:
    """Measures the slopes, prints the extrapolation and writes it to ``OUTPUT``."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    records = measure_memory("records")
    instances = measure_memory("instances")
    cpu_s_per_call = measure_cpu_s_per_call()
    result = {
        "agent_base_mib": records.base_bytes / BYTES_PER_KIB**2,
        "bytes_per_policy_record": records.bytes_per_item,
        "bytes_per_directory_instance": instances.bytes_per_item,
        "entry_processor_ms_per_call": cpu_s_per_call * 1_000,
        "design_agent_memory_mib": (
            records.base_bytes
            + records.bytes_per_item * DESIGN_POLICIES * 2
            + instances.bytes_per_item * DESIGN_UPSTREAMS
        )
        / BYTES_PER_KIB**2,
        "design_entry_processes": DESIGN_CALLS_PER_S
        * cpu_s_per_call
        / TARGET_UTILISATION,
    }
    for name, value in result.items():
        print(f"{name:36} {value:14.2f}")
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
