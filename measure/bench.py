"""Runs scenarios against real processes, one fleet for each deployment."""

from __future__ import annotations

import json
import random
import subprocess
import sys
import threading
import time
from contextlib import ExitStack
from typing import TYPE_CHECKING, Any, NamedTuple

from standins.fleet import HOST, Fleet, call, find_free_ports

from .cell_result import LedgerEntry, summarize
from .scenario import SLOTS
from .schedule import PEAK_END_SHARE, PEAK_START_SHARE, build_schedule

if TYPE_CHECKING:
    from .scenario import Deployment, Scenario

GENERATORS = 3
START_DELAY_S = 0.6
SETTLE_S = 0.4
# Requests due earlier are not counted, as it takes time until servers fill up with long
# requests.
WARM_UP_S = 1.5
PROCESS_START_S = 3.0
NOISE_FACTOR = 4.0
NOISE_MAX_DURATION_S = 0.3
DEFAULT_BEHAVIOUR = {
    "slowdown": 1.0,
    "fail_fast": 0.0,
    "report_in_flight": None,
    "shed_above": None,
}
CLASSES = (
    {"name": "long", "path_prefix": "/{service}/long", "size": "long", "priority": 4},
    {"name": "short", "path_prefix": "/{service}/short", "size": "short"},
)


class Arm(NamedTuple):
    """A policy version to compare, or the central queue as version 0."""

    name: str
    version: int
    routing: dict[str, Any]
    limits: dict[str, Any]


BASELINE_ROUTING = {"prefer_near": False, "outlier_detection": False}
BASELINE_LIMITS = {"adaptive_concurrency": False}
ARMS = (
    Arm("default", 1, {}, {}),
    Arm("random", 2, {"chooser": "random", **BASELINE_ROUTING}, BASELINE_LIMITS),
    Arm(
        "round_robin",
        3,
        {"chooser": "round_robin", **BASELINE_ROUTING},
        BASELINE_LIMITS,
    ),
    Arm(
        "least_in_flight",
        4,
        {"chooser": "least_in_flight", **BASELINE_ROUTING},
        BASELINE_LIMITS,
    ),
    Arm(
        "two_choices",
        5,
        {"chooser": "two_choices", **BASELINE_ROUTING},
        BASELINE_LIMITS,
    ),
    Arm("central", 0, {}, {}),
    Arm("two_choices_reported", 6, {"chooser": "two_choices_reported"}, {}),
    Arm("least_estimated", 11, {"chooser": "least_estimated"}, {}),
    Arm("report_pool", 7, {"chooser": "report_pool"}, {}),
    Arm("without_near", 8, {"prefer_near": False}, {}),
    Arm("without_outliers", 9, {"outlier_detection": False}, {}),
    Arm("headroom_1", 12, {}, {"concurrency_headroom": 1.0}),
    Arm("without_limits", 10, {}, BASELINE_LIMITS),
)


class StartError(Exception):
    """A process of the fleet did not start."""


class Cell(NamedTuple):
    """One run of one arm in one scenario with one seed, and its results."""

    scenario: Scenario
    arm: Arm
    seed: int
    started: float
    window: tuple[float, float]
    results: list[dict[str, Any]]


class Bench:
    """A deployment as real processes, with a central queue for comparison."""

    def __init__(self, deployment: Deployment, fleet: Fleet, arms: list[Arm]) -> None:
        self._deployment = deployment
        self._fleet = fleet
        self._arms = arms
        self._central_url = ""
        self._servers: dict[str, list[str]] = {}
        self.cells: list[Cell] = []
        self.started = time.time()

    def start(self) -> None:
        """Starts every process, writes a policy version per arm and waits for both."""
        domains = self._deployment.failure_domains
        for service in self._deployment.services:
            self._servers[service.name] = [
                self._fleet.add_upstream(
                    service.name, index, domains[index % len(domains)], SLOTS
                )
                for index in range(service.servers)
            ]
        for index in range(self._deployment.entries):
            self._fleet.add_instance(f"entry-{index}", domains[index % len(domains)])
        self._fleet.publish_instances()
        self._start_central()
        self._write_policies()
        self._check_processes()
        try:
            self._fleet.wait_ready()
        except TimeoutError as error:
            raise StartError("not all processes became ready in time") from error
        for name in self._servers:
            for arm in self._arms:
                self._wait_until_served(name, arm)
        self.started = time.time()

    def run_cell(
        self, scenario: Scenario, arm: Arm, duration_s: float, seed: int
    ) -> None:
        """Runs one arm in one scenario."""
        arrivals = build_schedule(scenario.workload, self._deployment, duration_s, seed)
        start = time.time() + START_DELAY_S
        with ExitStack() as stack:
            self._set_faults(scenario, stack)
            results = self._send_requests(scenario, arm, seed, arrivals, start)
        for server in self._servers[scenario.workload.services[0]]:
            self._fleet.set_behaviour(server, **DEFAULT_BEHAVIOUR)
        window = (
            start + duration_s * PEAK_START_SHARE,
            start + duration_s * PEAK_END_SHARE,
        )
        self.cells.append(Cell(scenario, arm, seed, start, window, results))
        time.sleep(SETTLE_S)

    def collect(self) -> list[dict[str, Any]]:
        """Returns the figures of every run, checked against the upstreams' ledgers."""
        ledger, probes = self._read_ledgers()
        elapsed = time.time() - self.started
        return [
            {
                "scenario": cell.scenario.name,
                "arm": cell.arm.name,
                "seed": cell.seed,
                "probes_per_second": probes / elapsed / max(1, self._count_servers()),
                **summarize(
                    cell.results,
                    ledger,
                    SLOTS,
                    self._count_slots(cell),
                    cell.window,
                    cell.started + WARM_UP_S,
                ),
            }
            for cell in self.cells
        ]

    def measure_added_latency(self, calls: int) -> dict[str, list[float]]:
        """Returns latencies in milliseconds of calls through an entry and direct."""
        service = next(iter(self._servers))
        entry = self._fleet.get_entry_url("entry-0")
        direct = self._fleet.get_upstream_url(self._servers[service][0])
        command = [sys.executable, "-m", "measure.paired_calls", entry, direct]
        output = subprocess.run(
            [*command, service, str(calls)], capture_output=True, check=True
        )
        return dict(json.loads(output.stdout))

    def _check_processes(self) -> None:
        """Raises ``StartError`` if a process exited, as it does on a port in use."""
        time.sleep(PROCESS_START_S)
        for name, process in self._fleet.processes.items():
            if process.poll() is not None:
                raise StartError(
                    f"process {name} exited with code {process.returncode}"
                )

    def _start_central(self) -> None:
        path = self._fleet.directory / "central.json"
        services = {
            name: [self._fleet.get_upstream_url(server) for server in servers]
            for name, servers in self._servers.items()
        }
        path.write_text(json.dumps({"services": services, "slots": SLOTS}))
        port = find_free_ports(1)[0]
        self._central_url = f"http://{HOST}:{port}"
        self._fleet.start(
            "central",
            ["-m", "measure.central_queue", "--config", str(path), "--port", str(port)],
        )

    def _write_policies(self) -> None:
        for service in self._servers:
            classes = [
                {
                    **item,
                    "path_prefix": str(item["path_prefix"]).format(service=service),
                }
                for item in CLASSES
            ]
            for arm in self._arms:
                if arm.version:
                    self._fleet.write_policy(
                        service,
                        arm.version,
                        classes=classes,
                        routing=arm.routing,
                        limits=arm.limits,
                        upstreams={
                            "slots": SLOTS,
                            "connections": self._deployment.connections,
                        },
                    )

    def _wait_until_served(self, service: str, arm: Arm) -> None:
        headers = build_arm_headers(arm) | {"Request-Timeout-Ms": "2000"}
        urls = self._get_urls(arm)
        for url in urls:
            self._fleet.wait_until(
                lambda url=url: (
                    call(f"{url}/{service}/short", headers=headers)[0] == 200
                )
            )

    def _get_urls(self, arm: Arm) -> list[str]:
        if not arm.version:
            return [self._central_url]
        return [
            self._fleet.get_entry_url(f"entry-{index}")
            for index in range(self._deployment.entries)
        ]

    def _set_faults(self, scenario: Scenario, stack: ExitStack) -> None:
        servers = self._servers[scenario.workload.services[0]]
        for index in scenario.fault.servers:
            behaviour = dict(scenario.fault.behaviour)
            self._fleet.set_behaviour(servers[index], **behaviour)
        if scenario.fault.noisy:
            stopped = threading.Event()
            thread = threading.Thread(
                target=self._inject_noise, args=(servers, stopped)
            )
            thread.start()
            stack.callback(thread.join)
            stack.callback(stopped.set)

    def _inject_noise(self, servers: list[str], stopped: threading.Event) -> None:
        generator = random.Random(1)
        while not stopped.is_set():
            server = generator.choice(servers)
            self._fleet.set_behaviour(server, slowdown=NOISE_FACTOR)
            stopped.wait(generator.uniform(0, NOISE_MAX_DURATION_S))
            self._fleet.set_behaviour(server, slowdown=1.0)

    def _send_requests(
        self, scenario: Scenario, arm: Arm, seed: int, arrivals: list[Any], start: float
    ) -> list[dict[str, Any]]:
        numbered = list(enumerate(arrivals))
        name = f"{scenario.name}-{arm.name}-{seed}"
        processes = []
        for index in range(GENERATORS):
            job = {
                "cell": name,
                "start": start,
                "timeout_ms": scenario.workload.timeout_ms,
                "urls": self._get_urls(arm),
                "headers": build_arm_headers(arm),
                "arrivals": numbered[index::GENERATORS],
            }
            path = self._fleet.directory / f"{name}-{index}.json"
            path.write_text(json.dumps(job))
            command = [sys.executable, "-m", "measure.load_generator", str(path)]
            output = path.with_suffix(".out")
            processes.append((subprocess.Popen([*command, str(output)]), output))
        results: list[dict[str, Any]] = []
        for process, output in processes:
            if process.wait() != 0:
                raise RuntimeError(f"a load generator failed in run {name}")
            results += json.loads(output.read_text())
        return results

    def _read_ledgers(self) -> tuple[dict[str, list[LedgerEntry]], int]:
        ledger: dict[str, list[LedgerEntry]] = {}
        probes = 0
        for server in self._fleet.upstream_ports:
            body = self._fleet.read_ledger(server)
            probes += body["probes"]
            for ran in body["ran"]:
                size = ran["path"].rpartition("/")[2]
                times = (ran.get("received", ran["started"]), ran["started"])
                entry = LedgerEntry(server, size, *times, ran["finished"])
                ledger.setdefault(ran["work"], []).append(entry)
        return ledger, probes

    def _count_servers(self) -> int:
        return sum(len(servers) for servers in self._servers.values())

    def _count_slots(self, cell: Cell) -> int:
        services = cell.scenario.workload.services
        return sum(len(self._servers[service]) for service in services) * SLOTS


def build_arm_headers(arm: Arm) -> dict[str, str]:
    """Returns the headers that select an arm."""
    return {"Verbenacross-Policy-Version": str(arm.version)} if arm.version else {}
