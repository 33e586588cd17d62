"""Responses of a faulty server that go on until the caller closes the connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Literal

if TYPE_CHECKING:
    from collections.abc import Iterator

EndlessPart = Literal[
    "endless-fields",
    "endless-folded-field",
    "endless-interim",
    "endless-chunks",
    "endless-slow-chunks",
    "endless-unframed",
    "endless-chunk-extension",
    "endless-trailers",
    "endless-refusal",
    "endless-length",
]

BLOCK_BYTES = 16_384
SLOW_PAUSE_S = 0.05
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
BLOCK = b"4000\r\n" + b"x" * BLOCK_BYTES + b"\r\n"
DECLARED_LENGTH = 10**15


async def write_endless(
    part: EndlessPart, request_id: str, signature: str, writer: asyncio.StreamWriter
) -> None:
    """Writes a response without end; returns when the connection is closed."""
    pieces = build_pieces(part, request_id, signature)
    while not writer.is_closing():
        writer.write(next(pieces))
        await writer.drain()
        await asyncio.sleep(SLOW_PAUSE_S if part == "endless-slow-chunks" else 0)


def build_pieces(part: EndlessPart, request_id: str, signature: str) -> Iterator[bytes]:
    """Yields the start of a response, then the same piece again and again."""
    identity = f"X-Request-Id: {request_id}\r\n".encode()
    success = b"HTTP/1.1 200 OK\r\n" + identity
    success += f"X-Upstream-Signature: {signature}\r\n".encode()
    refusal = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + identity
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    match part:
        case "endless-fields":
            start, piece = success, b"X-A: b\r\n"
        case "endless-folded-field":
            start, piece = success + b"X-A: b\r\n", b" continued\r\n"
        case "endless-interim":
            start, piece = INTERIM, INTERIM
        case "endless-chunks":
            start, piece = success + chunked, BLOCK
        case "endless-slow-chunks":
            start, piece = success + chunked, b"1\r\nx\r\n"
        case "endless-unframed":
            start, piece = success + b"\r\n", b"x" * BLOCK_BYTES
        case "endless-chunk-extension":
            start, piece = success + chunked + b"1;a=", b"b" * BLOCK_BYTES
        case "endless-trailers":
            start, piece = success + chunked + b"1\r\nx\r\n0\r\n", b"X-A: b\r\n"
        case "endless-refusal":
            start, piece = refusal + chunked, BLOCK
        case "endless-length":
            length = f"Content-Length: {DECLARED_LENGTH}\r\n\r\n".encode()
            start, piece = success + length, b"x" * BLOCK_BYTES
    yield start
    while True:
        yield piece
