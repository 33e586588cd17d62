"""TCP proxy that injects faults between two processes.

``POST /control`` on the control port sets faults: ``delay_ms`` (added to each piece of
data in each direction), ``drop`` (``none``, ``both``, ``to_server`` or ``to_client``:
data in that direction is read and dropped), ``refuse`` (new connections are reset),
``cut_after_bytes`` (a connection ends after so many bytes to the client, ``null`` for
never) and ``cut_with`` (``close`` or ``reset``). ``POST /control/silence`` drops all
further data of the connections that are open now, while new ones work; ``POST
/control/reset`` resets them. ``GET /control/connections`` counts connections.
"""

from __future__ import annotations

import argparse
import asyncio
import socket
import struct
from typing import Any

from aiohttp import web

READ_BYTES = 65_536
MS_PER_S = 1_000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ProxiedConnection:
    """One client's connection and the one to the server."""

    def __init__(self, faults: dict[str, Any]) -> None:
        self._faults = faults
        self.silent = False
        self.writers: list[asyncio.StreamWriter] = []
        self.sent_to_client = 0

    async def run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server: str
    ) -> None:
        """Copies data in both directions until one side ends."""
        self.writers.append(writer)
        host, _, port = server.rpartition(":")
        try:
            other_reader, other_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self.reset()
            return
        self.writers.append(other_writer)
        copies = (
            asyncio.ensure_future(self.copy(reader, other_writer, "to_server")),
            asyncio.ensure_future(self.copy(other_reader, writer, "to_client")),
        )
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in copies:
                task.cancel()
            for opened in self.writers:
                opened.close()

    async def copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: str
    ) -> None:
        """Copies data in one direction with the faults that are set."""
        while True:
            try:
                data = await reader.read(READ_BYTES)
            except OSError:
                return self.reset()
            if not data:
                return None
            if self._faults["delay_ms"]:
                await asyncio.sleep(self._faults["delay_ms"] / MS_PER_S)
            if self.silent or self._faults["drop"] in ("both", way):
                continue
            cut = way == "to_client" and self.is_cut(len(data))
            if cut:
                left = self._faults["cut_after_bytes"] - self.sent_to_client
                data = data[: max(0, left)]
            if way == "to_client":
                self.sent_to_client += len(data)
            writer.write(data)
            try:
                await writer.drain()
            except OSError:
                return self.reset()
            if cut:
                return self.reset() if self._faults["cut_with"] == "reset" else None

    def is_cut(self, size: int) -> bool:
        """Returns whether the connection ends within the next bytes to the client."""
        limit = self._faults["cut_after_bytes"]
        return limit is not None and self.sent_to_client + size > limit

    def reset(self) -> None:
        """Resets both connections."""
        for writer in self.writers:
            opened = writer.get_extra_info("socket")
            if opened is not None:
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()


class FaultProxy:
    """TCP proxy with faults that are set over HTTP."""

    def __init__(self, server: str) -> None:
        self.server = server
        self.accepted = 0
        self.open: set[ProxiedConnection] = set()
        self.faults: dict[str, Any] = {
            "delay_ms": 0,
            "drop": "none",
            "refuse": False,
            "cut_after_bytes": None,
            "cut_with": "close",
        }

    def build_application(self) -> web.Application:
        """Returns the HTTP application of the control port."""
        application = web.Application()
        application.add_routes(
            [
                web.post("/control", self.set_faults),
                web.post("/control/silence", self.silence_open),
                web.post("/control/reset", self.reset_open),
                web.get("/control/connections", self.count_connections),
            ]
        )
        return application

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self.accepted += 1
        connection = ProxiedConnection(self.faults)
        if self.faults["refuse"]:
            connection.writers.append(writer)
            connection.reset()
            return
        self.open.add(connection)
        try:
            await connection.run(reader, writer, self.server)
        finally:
            self.open.discard(connection)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Sets faults."""
        self.faults.update(await request.json())
        return web.json_response(self.faults)

    async def silence_open(self, request: web.Request) -> web.Response:
        """Drops all further data of the open connections."""
        for connection in self.open:
            connection.silent = True
        return web.json_response({"silenced": len(self.open)})

    async def reset_open(self, request: web.Request) -> web.Response:
        """Resets the open connections."""
        connections = list(self.open)
        for connection in connections:
            connection.reset()
        return web.json_response({"reset": len(connections)})

    async def count_connections(self, request: web.Request) -> web.Response:
        """Serves the number of connections."""
        return web.json_response({"accepted": self.accepted, "open": len(self.open)})


async def run(host: str, port: int, control_port: int, server: str) -> None:
    """Runs the proxy until the process ends."""
    proxy = FaultProxy(server)
    runner = web.AppRunner(proxy.build_application(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, control_port).start()
    listener = await asyncio.start_server(proxy.serve, host, port)
    async with listener:
        await listener.serve_forever()


def main() -> None:
    """Runs the proxy."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--control-port", type=int, required=True)
    parser.add_argument("--server", required=True, help="IP:PORT behind the proxy")
    arguments = parser.parse_args()
    asyncio.run(
        run(arguments.host, arguments.port, arguments.control_port, arguments.server)
    )


if __name__ == "__main__":
    main()
