"""TCP proxy that injects faults into connections.

Listens on ``--port`` and forwards each connection to ``--target``. ``POST /control`` on
``--control-port`` sets faults for open and later connections; a body with
``"connections": "open"`` sets them only for open connections, ``"new"`` only for later
ones. Faults, each with its default:

- ``delay_ms`` (0): delay of each chunk, in both directions;
- ``cut`` ("none"): direction that forwards nothing: ``to_target``, ``to_client``;
- ``silent`` (false): nothing is forwarded, the connections stay open;
- ``cut_after_bytes`` (null): ends the connection after N bytes to the client;
- ``cut_with`` ("reset"): how it ends then, ``reset`` or ``close``;
- ``refuse`` (false): new connections are closed at once.

``POST /reset`` resets every open connection. ``GET /connections`` serves the number of
accepted connections and the open ones with their forwarded bytes.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import socket
import struct
from typing import Any, Literal

from aiohttp import web

CHUNK_BYTES = 65_536
MS_PER_S = 1_000
POLL_INTERVAL_S = 0.05
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
Direction = Literal["to_target", "to_client"]


def build_faults() -> dict[str, Any]:
    """Returns the default faults, which change nothing."""
    return {
        "delay_ms": 0,
        "cut": "none",
        "silent": False,
        "cut_after_bytes": None,
        "cut_with": "reset",
        "refuse": False,
    }


class ProxiedConnection:
    """A client connection and the connection to the target that serves it."""

    def __init__(
        self,
        client: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        target: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        faults: dict[str, Any],
    ) -> None:
        self.client = client
        self.target = target
        self.faults = faults
        self.passed = {"to_target": 0, "to_client": 0}

    async def run(self) -> None:
        """Forwards both directions until one of them ends."""
        tasks = [
            asyncio.create_task(
                self.forward(self.client[0], self.target[1], "to_target")
            ),
            asyncio.create_task(
                self.forward(self.target[0], self.client[1], "to_client")
            ),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for _, writer in (self.client, self.target):
                writer.close()

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        """Forwards one direction; drops what arrives while it is silent or cut.

        Such a direction does not forward the end of the stream either.
        """
        try:
            await self._forward_chunks(reader, writer, direction)
        except OSError:
            self.reset()

    async def _forward_chunks(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        while chunk := await read_chunk(reader):
            if self.faults["delay_ms"]:
                await asyncio.sleep(self.faults["delay_ms"] / MS_PER_S)
            if self.is_blocked(direction):
                continue
            limit = self.faults["cut_after_bytes"] if direction == "to_client" else None
            remaining = len(chunk) if limit is None else limit - self.passed[direction]
            passed = chunk[: max(0, remaining)]
            self.passed[direction] += len(passed)
            writer.write(passed)
            await writer.drain()
            if len(passed) < len(chunk):
                if self.faults["cut_with"] == "reset":
                    self.reset()
                return
        while self.is_blocked(direction):
            await asyncio.sleep(POLL_INTERVAL_S)

    def is_blocked(self, direction: Direction) -> bool:
        """Returns whether a direction forwards nothing."""
        return bool(self.faults["silent"]) or self.faults["cut"] == direction

    def reset(self) -> None:
        """Resets both TCP connections."""
        for _, writer in (self.client, self.target):
            connection = writer.get_extra_info("socket")
            # The socket may already be closed if the connection is just ending.
            with contextlib.suppress(OSError, AttributeError):
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            writer.transport.abort()


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Returns the next chunk, empty at the end of the stream or after an error."""
    try:
        return await reader.read(CHUNK_BYTES)
    except ConnectionError:
        return b""


class FaultProxy:
    """Forwards connections to one target and injects the faults that are set."""

    def __init__(self, host: str, target: tuple[str, int]) -> None:
        self.host = host
        self.target = target
        self.faults = build_faults()
        self.connections: set[ProxiedConnection] = set()
        self.accepted = 0

    def build_application(self) -> web.Application:
        """Returns the HTTP application that controls the proxy."""
        application = web.Application()
        application.add_routes(
            [
                web.post("/control", self.set_faults),
                web.post("/reset", self.reset_connections),
                web.get("/connections", self.list_connections),
            ]
        )
        return application

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handles a client connection: forwards it to the target until it ends."""
        self.accepted += 1
        if self.faults["refuse"]:
            writer.transport.abort()
            return
        try:
            target = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        connection = ProxiedConnection((reader, writer), target, dict(self.faults))
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Sets faults; responds with 400 to unknown names."""
        changes = await request.json()
        scope = changes.pop("connections", "all")
        unknown = changes.keys() - self.faults.keys()
        if unknown:
            return web.json_response({"unknown": sorted(unknown)}, status=400)
        if scope in ("all", "new"):
            self.faults.update(changes)
        if scope in ("all", "open"):
            for connection in self.connections:
                connection.faults.update(changes)
        return web.json_response(self.faults)

    async def reset_connections(self, request: web.Request) -> web.Response:
        """Resets every open connection."""
        reset = list(self.connections)
        for connection in reset:
            connection.reset()
        return web.json_response({"connections": len(reset)})

    async def list_connections(self, request: web.Request) -> web.Response:
        """Serves the number of accepted connections, and the open ones."""
        open_connections = [
            {"passed": connection.passed, "faults": connection.faults}
            for connection in self.connections
        ]
        return web.json_response({"accepted": self.accepted, "open": open_connections})


async def run(arguments: argparse.Namespace) -> None:
    """Runs proxy and control server until the process is terminated."""
    host, _, port = arguments.target.rpartition(":")
    proxy = FaultProxy(arguments.host, (host, int(port)))
    runner = web.AppRunner(proxy.build_application(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, arguments.host, arguments.control_port).start()
    server = await asyncio.start_server(proxy.serve, arguments.host, arguments.port)
    async with server:
        await server.serve_forever()


def main() -> None:
    """Runs the proxy."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--control-port", type=int, required=True)
    parser.add_argument("--target", required=True)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
