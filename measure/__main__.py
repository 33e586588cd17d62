"""Command line of the measurement tool."""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import sys
import time
from contextlib import ExitStack
from typing import TYPE_CHECKING, Any

from standins.fleet import Fleet

from .bench import ARMS, Arm, Bench, StartError
from .cell_result import get_percentiles
from .report import add_ratios, format_table, merge_seeds
from .scenario import DEPLOYMENTS, SCENARIOS
from .trace import write_traces

if TYPE_CHECKING:
    from .scenario import Deployment, Scenario

START_ATTEMPTS = 3
SHORT_DURATION_S = 4.0
FULL_DURATION_S = 10.0
SHORT_ARMS = ("random", "round_robin", "least_in_flight", "two_choices")
ADDED_LATENCY_CALLS = 400


def parse_arguments() -> argparse.Namespace:
    """Returns the parsed command line."""
    parser = argparse.ArgumentParser(prog="measure", description=__doc__)
    parser.add_argument("--short", action="store_true", help="under five minutes")
    parser.add_argument("--output", default="build/measure.json")
    parser.add_argument("--seeds", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=0.0)
    parser.add_argument("--scenarios", default="", help="names, with commas")
    parser.add_argument("--arms", default="", help="names, with commas")
    parser.add_argument("--utilization", type=float, help="instead of the scenario's")
    parser.add_argument("--traces", default="", help="directory for traces")
    return parser.parse_args()


def get_arm_names(arguments: argparse.Namespace, allowed: tuple[str, ...]) -> list[str]:
    """Returns the names of the arms to run in a scenario."""
    if arguments.arms:
        return list(arguments.arms.split(","))
    return list(allowed) or [*SHORT_ARMS, "default", "central"]


def set_utilization(scenario: Scenario, utilization: float | None) -> Scenario:
    """Returns the scenario with its utilization replaced, if one is given."""
    if utilization is None:
        return scenario
    workload = scenario.workload._replace(utilization=utilization)
    return scenario._replace(workload=workload)


def run_deployment(name: str, arguments: argparse.Namespace) -> dict[str, Any]:
    """Runs the selected scenarios of one deployment, all arms for each seed."""
    chosen = [
        set_utilization(scenario, arguments.utilization)
        for scenario in SCENARIOS
        if scenario.deployment == name
        and (not arguments.scenarios or scenario.name in arguments.scenarios.split(","))
    ]
    if not chosen:
        return {"rows": []}
    names = {arm for item in chosen for arm in get_arm_names(arguments, item.arms)}
    duration_s = arguments.seconds or (
        SHORT_DURATION_S if arguments.short else FULL_DURATION_S
    )
    arms = [arm for arm in ARMS if arm.name in names]
    with ExitStack() as stack:
        bench = start_bench(DEPLOYMENTS[name], arms, stack)
        added = bench.measure_added_latency(ADDED_LATENCY_CALLS)
        for seed in range(1, (arguments.seeds or (1 if arguments.short else 3)) + 1):
            for scenario in chosen:
                allowed = get_arm_names(arguments, scenario.arms)
                # The order rotates, so that no arm always runs first on a shared host.
                for arm in arms[seed % len(arms) :] + arms[: seed % len(arms)]:
                    if arm.name in allowed:
                        bench.run_cell(scenario, arm, duration_s, seed)
        if arguments.traces:
            write_traces(arguments.traces, bench.cells)
        if arguments.traces:
            write_traces(arguments.traces, bench.cells)
        return {"rows": bench.collect(), "added_latency_ms": describe_added(added)}


def start_bench(deployment: Deployment, arms: list[Arm], stack: ExitStack) -> Bench:
    """Returns a started bench; retries if another process took a free port."""
    for attempt in range(1, START_ATTEMPTS + 1):
        with ExitStack() as attempt_stack:
            fleet = attempt_stack.enter_context(Fleet())
            bench = Bench(deployment, fleet, arms)
            try:
                bench.start()
            except StartError as error:
                print(f"start {attempt} failed: {error}", file=sys.stderr)
                continue
            stack.push(attempt_stack.pop_all())
            return bench
    raise StartError(f"deployment {deployment.name} did not start")


def describe_added(times: dict[str, list[float]]) -> dict[str, float]:
    """Returns the latency percentiles that an entry adds, in milliseconds."""
    entry = get_percentiles([value / 1e3 for value in times["entry"]])
    direct = get_percentiles([value / 1e3 for value in times["direct"]])
    return {name: entry[name] - direct[name] for name in entry}


def main() -> None:
    """Runs the measurements, prints a table and writes the JSON result."""
    arguments = parse_arguments()
    started = time.time()
    output: dict[str, Any] = {"load_average_before": os.getloadavg()}
    rows = []
    for name in DEPLOYMENTS:
        try:
            measured = run_deployment(name, arguments)
        except StartError as error:
            print(f"deployment {name} was not measured: {error}", file=sys.stderr)
            continue
        rows += measured.pop("rows")
        output[name] = measured
    merged = merge_seeds(rows)
    add_ratios(merged)
    output |= {
        "load_average_after": os.getloadavg(),
        "seconds": time.time() - started,
        "figures": merged,
    }
    path = pathlib.Path(arguments.output)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(output, indent=2))
    print(format_table(merged))
    for name in DEPLOYMENTS:
        if output.get(name):
            print(f"added latency {name} (ms): {output[name]['added_latency_ms']}")
    print(f"{output['seconds']:.0f} s, load average {os.getloadavg()}; JSON in {path}")


if __name__ == "__main__":
    main()
