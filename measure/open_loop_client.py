"""Open-loop HTTP client with low overhead."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterator

HIGHEST_US = 60_000_000
US_PER_S = 1_000_000
HEAD_END = b"\r\n\r\n"
LENGTH_NAME = b"content-length:"


class OpenLoopClient:
    """Sends requests at fixed times, whether or not earlier ones have completed.

    Latency is measured in microseconds from the time at which a request was due. A
    stalled server therefore shows in the latencies, which a client that waits for
    responses would hide (coordinated omission).
    """

    def __init__(self, host: str, port: int, request: bytes) -> None:
        self._host = host
        self._port = port
        self._request = request
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.latency = HdrHistogram(1, HIGHEST_US, 3)
        self.failed = 0
        self.sent = 0

    async def run(self, times: Iterator[float]) -> None:
        """Sends one request at each of the times (monotonic clock, seconds)."""
        pending: set[asyncio.Task[None]] = set()
        for due in times:
            wait_s = due - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            task = asyncio.create_task(self._send(due))
            pending.add(task)
            task.add_done_callback(pending.discard)
        if pending:
            await asyncio.wait(pending)
        for _, writer in self._idle:
            writer.close()

    async def open(self, connections: int) -> None:
        """Opens idle connections, so that no measured request opens one."""
        for _ in range(connections):
            opened = await asyncio.open_connection(self._host, self._port)
            self._idle.append(opened)

    async def _send(self, due: float) -> None:
        self.sent += 1
        try:
            if self._idle:
                reader, writer = self._idle.pop()
            else:
                reader, writer = await asyncio.open_connection(self._host, self._port)
            writer.write(self._request)
            head = await reader.readuntil(HEAD_END)
            await reader.readexactly(read_length(head))
        except (OSError, asyncio.IncompleteReadError):
            self.failed += 1
            return
        if not head.startswith(b"HTTP/1.1 200"):
            self.failed += 1
        self.latency.record_value(max(1, int((time.monotonic() - due) * US_PER_S)))
        self._idle.append((reader, writer))


def read_length(head: bytes) -> int:
    """Returns the Content-Length of a response head."""
    lowered = head.lower()
    start = lowered.index(LENGTH_NAME) + len(LENGTH_NAME)
    return int(lowered[start : lowered.index(b"\r\n", start)])
