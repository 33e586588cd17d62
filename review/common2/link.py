"""The link of a machine towards its clients: a proxy with a limited bandwidth."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress

# Segments as on Ethernet. Those of the loopback interface are 64 KiB long, for which
# the kernel buffers megabytes.
SEGMENT_BYTES = 1460
RECEIVE_BUFFER_BYTES = 4_096
PIECE_BYTES = 1_460


class Link:
    """Forwards connections to a node; its answers share the bandwidth.

    What the node has sent is forwarded in full, also after the node has closed the
    connection or has ended. A reset is passed on as one.
    """

    def __init__(self, target: tuple[str, int], mbps: float) -> None:
        self.address = ("127.0.0.1", 0)
        self._target = target
        self._bytes_per_s = mbps * 1_000_000 / 8
        self._free_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Link:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self

    async def __aexit__(self, *exception: object) -> None:
        self._server.close()
        for task in [*self._tasks]:
            task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        upstream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        upstream.setblocking(False)
        upstream.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        upstream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        with upstream:
            await loop.sock_connect(upstream, self._target)
            requests = asyncio.create_task(self._send_requests(reader, upstream))
            try:
                while data := await loop.sock_recv(upstream, PIECE_BYTES):
                    await self._take_turn(len(data))
                    writer.write(data)
                    await writer.drain()
                writer.close()
            finally:
                requests.cancel()
                await asyncio.gather(requests, return_exceptions=True)

    async def _take_turn(self, size: int) -> None:
        """Waits until the link has sent all pieces up to this one."""
        now = time.monotonic()
        self._free_at = max(self._free_at, now) + size / self._bytes_per_s
        await asyncio.sleep(self._free_at - now)

    @staticmethod
    async def _send_requests(
        reader: asyncio.StreamReader, upstream: socket.socket
    ) -> None:
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            while data := await reader.read(65536):
                await loop.sock_sendall(upstream, data)
            upstream.shutdown(socket.SHUT_WR)
