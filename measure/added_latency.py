"""Measures the latency that an entry adds to a call.

An open-loop client calls an upstream stand-in alternately directly and through an
entry. Prints percentiles of both in milliseconds, their differences, and the CPU time
of the entry per call, which noisy neighbours affect less than latency.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import pathlib
import sys
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from hdrh.histogram import HdrHistogram

from standins.fleet import HOST, Fleet, call

from .open_loop_client import HIGHEST_US, OpenLoopClient

if TYPE_CHECKING:
    from collections.abc import Iterator

SERVICE = "measured"
CONNECTIONS = 16
US_PER_MS = 1_000
MS_PER_S = 1_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
TARGET_P99_MS = 0.72
IO_URING_LINK = "anon_inode:[io_uring]"


class CpuTime(NamedTuple):
    """CPU time in seconds, in user and in kernel mode."""

    user_s: float
    system_s: float


def main() -> int:
    """Runs the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=200.0, help="calls per second")
    parser.add_argument("--seconds", type=float, default=3.0, help="of each turn")
    parser.add_argument("--turns", type=int, default=4)
    parser.add_argument("--method", default="GET")
    parser.add_argument("--output", help="file for the JSON result")
    arguments = parser.parse_args()
    with Fleet() as fleet:
        start_fleet(fleet)
        result = asyncio.run(measure(fleet, arguments))
    text = json.dumps(result, indent=2)
    print(text)
    if arguments.output:
        pathlib.Path(arguments.output).write_text(text)
    return 0


def start_fleet(fleet: Fleet) -> None:
    """Starts one upstream and one entry."""
    fleet.add_upstream(SERVICE, 0, slots=256)
    fleet.add_instance("entry-1")
    fleet.publish_instances()
    fleet.write_policy(SERVICE, 1)
    fleet.wait_ready()
    url = f"{fleet.get_entry_url('entry-1')}/{SERVICE}/x"
    fleet.wait_until(lambda: call(url)[0] == 200)


async def measure(fleet: Fleet, arguments: argparse.Namespace) -> dict[str, Any]:
    """Calls alternately directly and through the entry; returns the figures."""
    ports = {
        "direct": fleet.upstream_ports[f"{SERVICE}-0"],
        "entry": fleet.ports["entry-1"].listen,
    }
    pid = fleet.processes["entry-1-entry"].pid
    latency = {path: HdrHistogram(1, HIGHEST_US, 3) for path in ports}
    failed = sent = 0
    used = CpuTime(0.0, 0.0)
    await run_turn(ports["entry"], arguments, 1.0)
    for _ in range(arguments.turns):
        for path, port in ports.items():
            before = read_cpu_time(pid)
            client = await run_turn(port, arguments, arguments.seconds)
            latency[path].add(client.latency)
            failed += client.failed
            if path == "entry":
                now = read_cpu_time(pid)
                used = CpuTime(
                    used.user_s + now.user_s - before.user_s,
                    used.system_s + now.system_s - before.system_s,
                )
                sent += client.sent
    shown = {path: read_percentiles(histogram) for path, histogram in latency.items()}
    added = {
        name: round(shown["entry"][name] - shown["direct"][name], 3)
        for name in shown["direct"]
    }
    return {
        "method": arguments.method,
        "rate_per_second": arguments.rate,
        "calls_each_way": sent,
        "failed": failed,
        "direct_ms": shown["direct"],
        "entry_ms": shown["entry"],
        "added_ms": added,
        "target_added_p99_ms": TARGET_P99_MS,
        "entry_user_ms_per_call": round(used.user_s * MS_PER_S / sent, 3),
        "entry_system_ms_per_call": round(used.system_s * MS_PER_S / sent, 3),
        "io_uring_descriptors": count_io_uring(pid),
        "load_average": os.getloadavg()[0],
    }


async def run_turn(
    port: int, arguments: argparse.Namespace, seconds: float
) -> OpenLoopClient:
    """Sends calls to one port at the configured rate for ``seconds``."""
    head = f"{arguments.method} /{SERVICE}/x HTTP/1.1\r\nHost: measured\r\n"
    head += "X-Work-Ms: 0\r\nContent-Length: 0\r\n\r\n"
    client = OpenLoopClient(HOST, port, head.encode())
    await client.open(CONNECTIONS)
    await client.run(iter_send_times(arguments.rate, seconds))
    return client


def iter_send_times(rate: float, seconds: float) -> Iterator[float]:
    """Yields evenly spaced times on the monotonic clock."""
    started = time.monotonic()
    for number in range(int(rate * seconds)):
        yield started + number / rate


def read_percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Returns percentiles in milliseconds."""
    return {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / US_PER_MS
        for percentile in PERCENTILES
    }


def read_cpu_time(pid: int) -> CpuTime:
    """Returns the CPU time that a process has used so far."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = os.sysconf("SC_CLK_TCK")
    return CpuTime(int(fields[11]) / ticks, int(fields[12]) / ticks)


def count_io_uring(pid: int) -> int:
    """Returns how many io_uring descriptors a process has open."""
    count = 0
    for link in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        # A descriptor may be closed after it was listed.
        with contextlib.suppress(FileNotFoundError):
            count += str(link.readlink()) == IO_URING_LINK
    return count


if __name__ == "__main__":
    sys.exit(main())
