"""A machine on a slow link is stopped as planned while clients fetch clips."""

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
from review.common2.link import Link  # noqa: E402

# LATER.md of grown/ and demands/: machines have 5 to 100 Mbit/s.
LINK_MBPS = 5.0
# Sizes of the clips in bytes. The site files have 90,000 on average, 540,000 at most.
CLIP_BYTES = (134_000, 137_000, 140_000, 143_000, 146_000, 149_000)
WORK_S = 0.26
DEADLINE_MS = 9_296
# The clients fetch a first clip on connections that they keep open. The second ones
# follow this long after SIGTERM, one after the other.
SECOND_FETCH_S = 2.5
FETCH_GAP_S = 0.05
SIGTERM_AFTER_S = 6.0
# The grace period is 6 s; from its last sixth on, servers at work are an excuse.
EXCUSE_AFTER_S = 5.0


class ClipServer(PlatformUpstreamStandIn):
    """Server whose answers have the length that ends the request's id."""

    def build_response(self, request_id: str, status: str = "200 OK") -> bytes:
        """Returns a complete answer."""
        self.body = build_clip(request_id)
        return super().build_response(request_id, status)


def build_clip(request_id: str) -> bytes:
    """Returns the only right body of the answer to a request."""
    size = int(request_id.rpartition("-")[2])
    piece = f"{request_id};".encode()
    return (piece * (size // len(piece) + 1))[:size]


async def case(record: Record, has_trouble: bool) -> int:
    """Returns whether an answer was cut off around the planned stop."""
    async with Deployment(record) as deployment:
        rule = build_rule("/clips/", "download", "clipvault", timeout="9s")
        await deployment.configure(build_configuration([rule]))
        for number in range(3):
            await deployment.add_server(
                f"s{number}", ClipServer, service="clipvault", service_time_s=WORK_S
            )
        node = await deployment.add_node("edge-1", "a", link_mbps=LINK_MBPS)
        await deployment.wait_ready()
        async with Link(node.front, LINK_MBPS) as link:
            sigterm_at = time.monotonic() + SIGTERM_AFTER_S
            lost: list[str] = []

            async def fetch(connection: Connection, name: str, size: int) -> None:
                request_id = f"{name}-{size}"
                record.write(f"{request_id}: sent")
                answer = await connection.call(
                    "GET", "/clips/a", request_id, DEADLINE_MS
                )
                is_right = answer.body == build_clip(request_id)
                record.write(
                    f"{request_id}: status {answer.status}, {len(answer.body)} bytes, "
                    f"complete: {answer.is_complete}, right: {is_right}, {answer.error}"
                )
                # The server's work must have ended long before the excuse begins.
                worked_until = max(
                    (
                        run.started_at + WORK_S
                        for server in deployment.servers
                        for run in server.runs
                        if run.headers["x-request-id"] == request_id
                    ),
                    default=0.0,
                )
                if not worked_until:
                    raise CaseNotRunError(f"{request_id} was not passed on")
                if not answer.is_complete and answer.error != "deadline":
                    if worked_until > sigterm_at + EXCUSE_AFTER_S:
                        raise CaseNotRunError("the server was at work for too long")
                    lost.append(request_id)

            async def call(index: int, size: int) -> None:
                connection = await Connection.open(link.address)
                await fetch(connection, f"first{index}", size)
                at = sigterm_at + SECOND_FETCH_S + index * FETCH_GAP_S
                await asyncio.sleep(at - time.monotonic())
                if not connection.is_open:
                    raise CaseNotRunError("a connection was closed before the stop")
                await fetch(connection, f"second{index}", size)

            async def stop() -> None:
                await asyncio.sleep(sigterm_at - time.monotonic())
                if not has_trouble:
                    return
                record.write(f"{node.name}: SIGTERM")
                node.send_signal(signal.SIGTERM)
                assert node.process is not None
                code = await node.process.wait()
                record.write(
                    f"{node.name}: ended with {code} "
                    f"{time.monotonic() - sigterm_at:.2f} s after SIGTERM"
                )

            async with asyncio.TaskGroup() as group:
                for index, size in enumerate(CLIP_BYTES):
                    group.create_task(call(index, size))
                group.create_task(stop())
            record.write(f"answers cut off: {len(lost)} {lost}")
            return BROKEN if lost else HELD


sys.exit(run_case(Path(__file__).parent, case))
