"""Measures policy distribution and membership: ``python -m measure.distribution``.

Writes ``build/distribution.json`` and prints a table. ``--short`` omits the larger
fleets and takes fewer samples.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import statistics
import time
from typing import Any

from standins.fleet import HOST, SHARED_KEY, Fleet, call, find_free_ports

from .detection import OVERLAYS, measure_detection

DOMAINS = "abcd"
WRITE_SAMPLES = 20
IDLE_S = 5.0
SETTLE_S = 3.0
TIMEOUT_S = 60.0
KB_PER_MB = 1_024


class AgentFleet(Fleet):
    """Fleet of host processes with one or more agents each."""

    def __enter__(self) -> AgentFleet:
        super().__enter__()
        return self

    def add_hosts(self, hosts: int, agents_per_host: int) -> None:
        """Starts host processes and their agents, and publishes the instance list."""
        self.hosts: dict[str, str] = {}
        ports_per_host = 3 * agents_per_host + 1
        free = find_free_ports(hosts * ports_per_host)
        for host in range(hosts):
            ports = free[host * ports_per_host :][:ports_per_host]
            settings = []
            for index in range(agents_per_host):
                name = f"instance-{host * agents_per_host + index}"
                domain = DOMAINS[(host * agents_per_host + index) % len(DOMAINS)]
                peer, entry, admin = ports[3 * index : 3 * index + 3]
                self._add_listed_instance(name, "verbenacross-agent", peer, domain)
                settings.append(
                    {
                        "instance": name,
                        "failure_domain": domain,
                        "peer_listen": f"{HOST}:{peer}",
                        "entry_listen": f"{HOST}:{entry}",
                        "admin_listen": f"{HOST}:{admin}",
                        "store_url": self.store_url,
                        "list_url": self.store_url,
                        "shared_key": SHARED_KEY,
                    }
                )
            path = self.directory / f"host-{host}.json"
            path.write_text(json.dumps(settings))
            self.hosts[f"host-{host}"] = f"http://{HOST}:{ports[-1]}"
        self.publish_instances()
        for name, url in self.hosts.items():
            port = url.rpartition(":")[2]
            path = self.directory / f"{name}.json"
            self.start(name, ["-m", "measure.agent_host", "--port", port, str(path)])

    def read_figures(self) -> list[dict[str, Any]]:
        """Returns the figures of each host."""
        return [json.loads(call(f"{url}/figures")[2]) for url in self.hosts.values()]

    def read_instances(self) -> list[dict[str, Any]]:
        """Returns the figures of each instance."""
        return [
            instance
            for figures in self.read_figures()
            for instance in figures["instances"].values()
        ]

    def count_calls(self) -> int:
        """Returns the number of calls to the store so far."""
        body = json.loads(call(f"{self.store_url}/control/calls")[2])
        return sum(body["calls"].values())

    def wait_until_converged(self, records: int) -> float:
        """Waits until every agent knows all instances and has all records."""
        count = len(self.instances)

        def has_converged() -> bool:
            try:
                instances = self.read_instances()
            except OSError:
                return False
            return len(instances) == count and all(
                instance["alive"] == count and instance["records"] >= records
                for instance in instances
            )

        return self.wait_until(has_converged, TIMEOUT_S)


def measure_size(hosts: int, agents_per_host: int, records: int) -> dict[str, Any]:
    """Measures an idle fleet of one size and the propagation of its writes."""
    agents = hosts * agents_per_host
    with AgentFleet() as fleet:
        for version in range(1, records + 1):
            fleet.write_policy("layerhouse", version)
        fleet.add_hosts(hosts, agents_per_host)
        fleet.wait_until_converged(records)
        time.sleep(SETTLE_S)
        idle = measure_idle(fleet, agents)
        propagation = measure_writes(fleet, records)
    return {
        "hosts": hosts,
        "agents": agents,
        "records": records,
        **idle,
        **propagation,
    }


def measure_idle(fleet: AgentFleet, agents: int) -> dict[str, Any]:
    """Measures the resource usage of a fleet while no record changes."""
    before, calls, started = fleet.read_figures(), fleet.count_calls(), time.time()
    time.sleep(IDLE_S)
    after = fleet.read_figures()
    elapsed = time.time() - started
    calls = fleet.count_calls() - calls
    cpu_s = sum(figures["processor_s"] for figures in after)
    cpu_s -= sum(figures["processor_s"] for figures in before)
    sent = sum_bytes(after) - sum_bytes(before)
    resident = sum(figures["resident_kb"] for figures in after)
    readers = sum(instance["reader"] for instance in fleet.read_instances())
    return {
        "readers": readers,
        "store_calls_per_second": round(calls / elapsed, 1),
        "processor_share_per_agent": round(cpu_s / elapsed / agents, 5),
        "resident_mb_per_agent": round(resident / KB_PER_MB / agents, 1),
        "bytes_per_second_per_agent": round(sent / elapsed / agents),
    }


def sum_bytes(figures: list[dict[str, Any]]) -> int:
    """Returns the message bytes sent and received by all agents."""
    return sum(
        instance["bytes"]["sent"] + instance["bytes"]["received"]
        for host in figures
        for instance in host["instances"].values()
    )


def measure_writes(fleet: AgentFleet, records: int) -> dict[str, Any]:
    """Measures the time from a write until the last entry has applied the record."""
    propagation_ms = []
    reported_ms = []
    for sample in range(WRITE_SAMPLES):
        started = time.time()
        revision = fleet.write_policy("cuepublish", sample + 1)
        fleet.wait_until(lambda revision=revision: is_applied_by_all(fleet, revision))
        times = [
            instance["applied"][str(revision)] for instance in fleet.read_instances()
        ]
        propagation_ms.append((max(times) - started) * 1_000)
        fleet.wait_until(lambda revision=revision: is_reported_by_all(fleet, revision))
        reported_ms.append((time.time() - started) * 1_000)
    return {
        "in_force_ms_median": round(statistics.median(propagation_ms), 1),
        "in_force_ms_worst": round(max(propagation_ms), 1),
        "reported_ms_median": round(statistics.median(reported_ms)),
        "reported_ms_worst": round(max(reported_ms)),
    }


def is_applied_by_all(fleet: AgentFleet, revision: int) -> bool:
    """Returns whether every entry has applied the record of a revision."""
    return all(
        str(revision) in instance["applied"] for instance in fleet.read_instances()
    )


def is_reported_by_all(fleet: AgentFleet, revision: int) -> bool:
    """Returns whether every agent knows that a revision is in force at all agents."""
    return all(
        instance["least_in_force"] >= revision for instance in fleet.read_instances()
    )


def compute_slope(rows: list[dict[str, Any]], x: str, y: str) -> float:
    """Returns the least-squares slope of a column over another."""
    result = statistics.linear_regression([r[x] for r in rows], [r[y] for r in rows])
    return float(f"{result.slope:.3g}")


def print_table(rows: list[dict[str, Any]]) -> None:
    """Prints rows that share their columns."""
    columns = list(rows[0])
    print(" | ".join(columns))
    for row in rows:
        print(" | ".join(str(row[column]) for column in columns))
    print()


def main() -> None:
    """Runs all measurements, prints tables and writes the JSON result."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--output", default="build/distribution.json")
    arguments = parser.parse_args()
    sizes = [(2, 1), (8, 1), (19, 1)]
    if not arguments.short:
        sizes += [(8, 8), (8, 12)]
    by_size = [measure_size(hosts, agents, 100) for hosts, agents in sizes]
    print_table(by_size)
    counts = (10, 500) if arguments.short else (10, 500, 2_000)
    by_records = [measure_size(8, 1, records) for records in counts]
    print_table(by_records)
    single = [row for row in by_size if row["hosts"] == row["agents"]]
    measured = (
        "processor_share_per_agent",
        "resident_mb_per_agent",
        "bytes_per_second_per_agent",
        "store_calls_per_second",
    )
    slopes = {
        f"{name} per agent in the fleet": compute_slope(single, "agents", name)
        for name in measured
    } | {
        f"{name} per record": compute_slope(by_records, "records", name)
        for name in measured
    }
    for name, slope in slopes.items():
        print(f"{name}: {slope}")
    rounds = 1 if arguments.short else 3
    detection = [
        asyncio.run(measure_detection(overlay, failures, rounds))
        for overlay in OVERLAYS
        for failures in (1, 4)
    ]
    print_table(detection)
    path = pathlib.Path(arguments.output)
    path.parent.mkdir(parents=True, exist_ok=True)
    result = {
        "by_size": by_size,
        "by_records": by_records,
        "slopes": slopes,
        "detection": detection,
    }
    path.write_text(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
