"""A machine with a grace period of 10 s is stopped while clients keep connections."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.common2.client import Connection  # noqa: E402
from review.common2.deployment import (  # noqa: E402
    BROKEN,
    HELD,
    CaseNotRunError,
    Deployment,
    PlatformUpstreamStandIn,
    Record,
    build_configuration,
    build_rule,
    run_case,
)

# LATER.md of large/: the grace period, and the times of `layer-reads`, whose route has
# a timeout of 8 s in the site file. Its clients keep their connections.
GRACE_S = 10.0
BOUNDS = {"grace_period": "10s", "drain_timeout": "3000ms", "stable_window": "4000ms"}
TIMEOUT = "8s"
TIMEOUT_S = 8.0
DEADLINE_MS = 15_335
USUAL_WORK_S = 0.94
# Three in a hundred requests take seven times as long, by the site file.
LONG_WORK_S = 7 * USUAL_WORK_S
LONG = "long"
SIGTERM_AFTER_S = 4.0
# The rule excuses requests that were sent up to 3 s after SIGTERM.
SENT_AFTER_S = (3.4, 3.8, 4.2, 4.6)


class Server(PlatformUpstreamStandIn):
    """Server on which requests whose id begins with ``LONG`` take longer."""

    async def _execute(self, run, reader):  # type: ignore[no-untyped-def]
        request_id = run.headers["x-request-id"]
        is_long = request_id.startswith(LONG)
        self.service_time_s = LONG_WORK_S if is_long else USUAL_WORK_S
        await super()._execute(run, reader)


async def case(record: Record, has_trouble: bool) -> int:
    """Returns whether a request was broken off while its server was at work."""
    async with Deployment(record) as deployment:
        rule = build_rule("/layers/", "safe", "layerhouse", timeout=TIMEOUT)
        await deployment.configure(build_configuration([rule]))
        for number in range(3):
            await deployment.add_server(f"s{number}", Server, service="layerhouse")
        node = await deployment.add_node("edge-1", "a", bounds=BOUNDS)
        await deployment.wait_ready()
        sigterm_at = time.monotonic() + SIGTERM_AFTER_S
        lost: list[str] = []
        refused: list[str] = []

        async def read(connection: Connection, request_id: str) -> None:
            record.write(f"{request_id}: sent")
            sent_at = time.monotonic()
            answer = await connection.call("GET", "/layers/a", request_id, DEADLINE_MS)
            took_s = time.monotonic() - sent_at
            runs = [
                run
                for server in deployment.servers
                for run in server.runs
                if run.headers["x-request-id"] == request_id
            ]
            record.write(
                f"{request_id}: status {answer.status} after {took_s:.2f} s, complete: "
                f"{answer.is_complete}, by a server: "
                f"{'x-upstream-signature' in answer.headers}, runs: {len(runs)}, "
                f"aborted: {[run.was_aborted for run in runs]} {answer.error}"
            )
            if answer.status == 503 and answer.is_complete and not runs:
                refused.append(request_id)
            is_served = answer.status == 200 and answer.is_complete
            if runs and not is_served and took_s < TIMEOUT_S - 0.1:
                lost.append(request_id)

        async def call(index: int, after_s: float) -> None:
            connection = await Connection.open(node.front)
            await asyncio.sleep(sigterm_at - 2.0 - time.monotonic())
            await read(connection, f"usual-{index}")
            await asyncio.sleep(sigterm_at + after_s - time.monotonic())
            if not connection.is_open:
                raise CaseNotRunError("a connection was closed before the stop")
            await read(connection, f"{LONG}-{index}")

        async def stop() -> None:
            await asyncio.sleep(sigterm_at - time.monotonic())
            if not has_trouble:
                return
            record.write(f"{node.name}: SIGTERM")
            node.send_signal(signal.SIGTERM)
            assert node.process is not None
            try:
                async with asyncio.timeout(GRACE_S):
                    await node.process.wait()
                took_s = time.monotonic() - sigterm_at
                record.write(f"{node.name}: ended {took_s:.2f} s after SIGTERM")
            except TimeoutError:
                node.send_signal(signal.SIGKILL)
                record.write(f"{node.name}: SIGKILL after the grace period")

        async with asyncio.TaskGroup() as group:
            for index, after_s in enumerate(SENT_AFTER_S):
                group.create_task(call(index, after_s))
            group.create_task(stop())
        record.write(f"refused untried: {refused}")
        record.write(f"broken off while a server was at work: {lost}")
        return BROKEN if lost else HELD


sys.exit(run_case(Path(__file__).parent, case))
