"""Writes the results that callers got in a run as JSON lines, to replay in tests."""

from __future__ import annotations

import json
import pathlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .bench import Cell

TRACED_ARM = "round_robin"
MS_PER_S = 1_000


def write_traces(directory: str, cells: list[Cell]) -> None:
    """Writes a trace of each run with seed 1 under round robin.

    Round robin sends requests to every upstream. The first line describes the fault,
    each further line one request.
    """
    pathlib.Path(directory).mkdir(parents=True, exist_ok=True)
    for cell in cells:
        if cell.arm.name == TRACED_ARM and cell.seed == 1:
            path = pathlib.Path(directory) / f"{cell.scenario.name}.jsonl"
            lines = [build_header(cell), *build_rows(cell)]
            text = "".join(json.dumps(line) + "\n" for line in lines)
            path.write_text(text)


def build_header(cell: Cell) -> dict[str, Any]:
    """Returns the first line of a trace."""
    scenario = cell.scenario
    service = scenario.workload.services[0]
    return {
        "scenario": scenario.name,
        "service": service,
        "faulty": [f"{service}-{index}" for index in scenario.fault.servers],
        "behaviour": dict(scenario.fault.behaviour),
    }


def build_rows(cell: Cell) -> list[dict[str, Any]]:
    """Returns the requests that an upstream answered, by time of completion."""
    rows = [
        {
            "sent_ms": round((item["due"] - cell.started) * MS_PER_S),
            "done_ms": round((item["done"] - cell.started) * MS_PER_S),
            "class": item["size"],
            "upstream": item["upstream"],
            "status": item["status"],
            "in_flight": item["reported"],
        }
        for item in cell.results
        if item.get("upstream")
    ]
    return sorted(rows, key=lambda row: row["done_ms"])
