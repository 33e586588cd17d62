"""Client of the platform's ingress over plain sockets."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

from .deployment import HOST


class Answer(NamedTuple):
    """What a client got; ``status`` is 0 if no head arrived in full."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    error: str


class Connection:
    """A client's connection, used for one request after the other."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.is_open = True
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: tuple[str, int]) -> Connection:
        """Connects; a client allows one second for it."""
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
        return cls(reader, writer)

    def close(self) -> None:
        """Closes the connection."""
        self.is_open = False
        self._writer.close()

    async def call(
        self,
        method: str,
        path: str,
        request_id: str,
        deadline_ms: int,
        *,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Sends a request and reads its answer until the deadline."""
        data = build_request(method, path, request_id, deadline_ms, body, headers)
        self._writer.write(data)
        return await self._read_answer(time.monotonic() + deadline_ms / 1000)

    async def call_ahead(
        self, path: str, request_ids: list[str], deadline_ms: int
    ) -> list[Answer]:
        """Sends several GET requests at once; returns their answers in order."""
        until = time.monotonic() + deadline_ms / 1000
        self._writer.write(
            b"".join(
                build_request("GET", path, request_id, deadline_ms)
                for request_id in request_ids
            )
        )
        return [await self._read_answer(until) for _ in request_ids]

    async def _read_answer(self, until: float) -> Answer:
        status, answer_headers, received = 0, {}, bytearray()
        try:
            async with asyncio.timeout(until - time.monotonic()):
                head = await self._reader.readuntil(b"\r\n\r\n")
                status, answer_headers = parse_head(head)
                is_complete = await self._read_body(status, answer_headers, received)
        except TimeoutError:
            self.close()
            return Answer(status, answer_headers, bytes(received), False, "deadline")
        except (OSError, asyncio.IncompleteReadError) as error:
            if not status and isinstance(error, asyncio.IncompleteReadError):
                received += error.partial
            self.close()
            return Answer(status, answer_headers, bytes(received), False, repr(error))
        if not is_complete:
            self.close()
            message = "the connection ended within the answer"
            return Answer(status, answer_headers, bytes(received), False, message)
        if answer_headers.get("connection", "").lower() == "close":
            self.is_open = False
        return Answer(status, answer_headers, bytes(received), True, "")

    async def _read_body(
        self, status: int, headers: dict[str, str], received: bytearray
    ) -> bool:
        if status in (204, 304):
            return True
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await self._reader.readuntil(b"\r\n")).strip(), 16)
                received += await self._reader.readexactly(size)
                await self._reader.readexactly(2)
                if not size:
                    return True
        length = headers.get("content-length")
        if length is None:
            while data := await self._reader.read(65536):
                received += data
            return True
        while len(received) < int(length):
            data = await self._reader.read(min(65536, int(length) - len(received)))
            if not data:
                return False
            received += data
        return True


def build_request(
    method: str,
    path: str,
    request_id: str,
    deadline_ms: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> bytes:
    """Returns a request as it is sent."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        *(f"{name}: {value}" for name, value in (headers or {}).items()),
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def parse_head(head: bytes) -> tuple[int, dict[str, str]]:
    """Returns the status and the headers of an answer, their names in lower case."""
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return int(first.split(" ")[1]), headers
