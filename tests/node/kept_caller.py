"""Callers that use a connection again after it has been idle, and their link."""

from __future__ import annotations

import asyncio
import re
import time
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from contextlib import AsyncExitStack

LOCALHOST = "127.0.0.1"
CHUNK_BYTES = 65_536


class KeptCall(NamedTuple):
    """A request on a kept connection; ``status`` is ``None`` if it got nothing.

    ``idle_s`` is the time since the response before it, ``kept_s`` the time for which
    that response, or else the operator, had stated that the connection is kept.
    """

    request_id: str
    sent_at: float
    ended_at: float
    idle_s: float
    kept_s: float
    status: int | None
    error: str = ""


class KeptConnection:
    """A connection of a caller.

    ``stated_s`` is the time in the ``Keep-Alive`` of the last response, ``None`` if it
    had none, ``is_last`` whether that response asked to close the connection, ``head``
    its head in lower case and ``body`` its body.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.answered_at = time.monotonic()
        self.stated_s: float | None = None
        self.is_last = False
        self.head = ""
        self.body = b""
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> KeptConnection:
        """Connects to ``address``, given as HOST:PORT."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def is_open(self) -> bool:
        """Returns whether the caller may use it, as far as its side shows."""
        is_ended = self._reader.at_eof() or self._reader.exception() is not None
        return not (is_ended or self.is_last or self._writer.is_closing())

    async def call(self, head: str, timeout_s: float) -> tuple[int | None, str]:
        """Sends a request without a body; returns the status and how it failed."""
        try:
            async with asyncio.timeout(timeout_s):
                self._writer.write(f"{head}\r\n\r\n".encode())
                status = await self._read_response()
        except (OSError, EOFError, TimeoutError) as error:
            self.close()
            return None, repr(error)
        self.answered_at = time.monotonic()
        return status, ""

    async def _read_response(self) -> int:
        """Reads a complete response; returns its status."""
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode().lower()
        self.head = head
        self.body = b""
        stated = re.search(r"\r\nkeep-alive: timeout=(\d+)", head)
        self.stated_s = float(stated[1]) if stated else None
        self.is_last = "\r\nconnection: close" in head
        if length := re.search(r"\r\ncontent-length: (\d+)", head):
            self.body = await self._reader.readexactly(int(length[1]))
        elif "\r\ntransfer-encoding: chunked" in head:
            while size := int(await self._reader.readuntil(b"\r\n"), 16):
                self.body += (await self._reader.readexactly(size + 2))[:-2]
            await self._reader.readuntil(b"\r\n")
        else:
            self.body = await self._reader.read()
        return int(head.split(" ", 2)[1])

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()


class DelayedLink:
    """TCP proxy that passes on bytes, and the end of a connection, after a delay."""

    def __init__(self, target: str, delay_s: float) -> None:
        self.address = ""
        self._target = target.rpartition(":")
        self._delay_s = delay_s

    @classmethod
    async def open(
        cls, stack: AsyncExitStack, target: str, delay_s: float
    ) -> DelayedLink:
        """Starts a link to ``target``; the stack closes it."""
        link = cls(target, delay_s)
        server = await asyncio.start_server(link._serve, LOCALHOST, 0)
        stack.callback(server.close)
        link.address = f"{LOCALHOST}:{server.sockets[0].getsockname()[1]}"
        return link

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target
        try:
            target = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._forward(reader, target[1]), self._forward(target[0], writer)
        )

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                loop.call_later(self._delay_s, writer.write, chunk)
        except OSError:
            pass
        loop.call_later(self._delay_s, writer.close)
