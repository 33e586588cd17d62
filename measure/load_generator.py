"""Open-loop load generator: sends requests when due, whether or not others ended.

Reads a JSON job from a file and writes one JSON list of results. Latency is
measured from the due time, so that it includes waiting in this process and in an entry.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys
import time
from typing import TYPE_CHECKING, Any

import aiohttp

from verbenacross.infrastructure.upstream_signals import parse_load_header

if TYPE_CHECKING:
    from collections.abc import Mapping

CLIENT_MARGIN_S = 2.0


class LoadGenerator:
    """Sends the requests of one job and records their results."""

    def __init__(self, job: dict[str, Any], session: aiohttp.ClientSession) -> None:
        self._job = job
        self._session = session
        self.results: list[dict[str, Any]] = []

    async def run(self) -> None:
        """Sends every request when it is due and waits for all results."""
        async with asyncio.TaskGroup() as tasks:
            for number, arrival in self._job["arrivals"]:
                due = self._job["start"] + arrival[0]
                delay_s = due - time.time()
                if delay_s > 0:
                    await asyncio.sleep(delay_s)
                tasks.create_task(self._send(number, arrival, due))

    async def _send(self, number: int, arrival: list[Any], due: float) -> None:
        _, service, size, work_ms, entry = arrival
        work_id = f"{self._job['cell']}-{number}"
        timeout_ms = self._job["timeout_ms"]
        headers = {
            "X-Work-Id": work_id,
            "X-Work-Ms": f"{work_ms:.3f}",
            "Request-Timeout-Ms": str(timeout_ms),
            **self._job["headers"],
        }
        status, execution, is_complete, signals = 0, "", False, {}
        urls = self._job["urls"]
        try:
            async with self._session.get(
                f"{urls[entry % len(urls)]}/{service}/{size}",
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_ms / 1e3 + CLIENT_MARGIN_S),
            ) as response:
                body = await response.read()
                status = response.status
                execution = response.headers.get("Execution-Status", "")
                signals = read_signals(response.headers)
                is_complete = body.startswith(work_id.encode())
        except (aiohttp.ClientError, TimeoutError):
            pass
        self.results.append(
            {
                "work": work_id,
                "size": size,
                "service": service,
                "work_ms": work_ms,
                "due": due,
                "done": time.time(),
                "status": status,
                "execution": execution,
                "whole": is_complete,
                "entry": entry,
                **signals,
            }
        )


def read_signals(headers: Mapping[str, str]) -> dict[str, Any]:
    """Returns the responding upstream and its reported load, for traces."""
    report = parse_load_header(headers)
    return {
        "upstream": headers.get("X-Upstream", ""),
        "reported": None if report is None else report.in_flight,
    }


async def run(job_path: str, result_path: str) -> None:
    """Runs the job of a file and writes its results."""
    job = json.loads(pathlib.Path(job_path).read_text())
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        generator = LoadGenerator(job, session)
        await generator.run()
    pathlib.Path(result_path).write_text(json.dumps(generator.results))


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], sys.argv[2]))
