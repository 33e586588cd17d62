"""Peer link: one connection to another agent."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import TYPE_CHECKING

import logbook
from websockets.exceptions import ConnectionClosed, ConnectionClosedOK

from ..protocol import ProtocolError, decode_message, encode_message
from ..protocol.codec import MAX_MESSAGE_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from websockets.asyncio.connection import Connection

    from ..protocol.messages import Hello, Message

MAX_QUEUED_FRAMES = 4_096
MAX_QUEUED_BYTES = 8_388_608
FRAGMENT_BYTES = 32_768

logger = logbook.Logger("verbenacross.peers.peer_link")


class PeerLink:
    """Sends and receives the messages of one connection after its handshake.

    Every received fragment updates ``last_received_at``, so that a large message on a
    slow path does not time the link out. A link whose send queue is full is closed; the
    next link to the peer starts by comparing tables, so no update is lost.
    """

    def __init__(self, connection: Connection, hello: Hello, is_outgoing: bool) -> None:
        self.peer = hello.instance
        self.hello = hello
        self.is_outgoing = is_outgoing
        self.is_synchronized = False
        self.peer_watermark: int | None = None
        now = time.monotonic()
        self.last_received_at = now
        self.last_used_at = now
        self.next_digest_at = now
        self.received_bytes = 0
        self.sent_bytes = 0
        self.sent_heartbeats = 0
        self._connection = connection
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._bulk_frames: Iterator[bytes] | None = None
        self._has_frames = asyncio.Event()
        self._close_task: asyncio.Task[None] | None = None
        self.is_closed = False
        self.closed_normally = False

    async def run(self, handle_message: Callable[[PeerLink, Message], None]) -> None:
        """Passes each received message to ``handle_message`` until the link closes."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._send_queued())
                tasks.create_task(self._receive_messages(handle_message))
        except* ConnectionClosedOK:
            self.closed_normally = True
        except* ConnectionClosed:
            pass
        except* ProtocolError as errors:
            logger.warning(
                "protocol error on peer link; link closed: {}",
                errors.exceptions[0],
                extra={"peer": self.peer},
            )
        finally:
            self.abort()

    def send(self, message: Message) -> None:
        """Queues a message without waiting."""
        self.send_frame(encode_message(message))

    def send_frame(self, frame: bytes) -> None:
        """Queues an encoded message without waiting; a full queue aborts the link."""
        if self.is_closed:
            return
        self._queued_bytes += len(frame)
        is_full = self._queued_bytes > MAX_QUEUED_BYTES
        if is_full or len(self._queue) >= MAX_QUEUED_FRAMES:
            logger.warning(
                "send queue of peer link is full; link aborted",
                extra={"peer": self.peer},
            )
            self.abort()
            return
        self._queue.append(frame)
        self._has_frames.set()

    def send_bulk(self, frames: Iterator[bytes]) -> bool:
        """Sends encoded messages at the pace of the peer, after the queued ones.

        Returns ``False`` and sends nothing while an earlier bulk transfer is running.
        """
        if self._bulk_frames is not None:
            return False
        self._bulk_frames = frames
        self._has_frames.set()
        return True

    def is_flushed(self) -> bool:
        """Returns whether every queued message was handed to the connection."""
        return self.is_closed or not self._queue

    async def close(self) -> None:
        """Closes the connection with a WebSocket closing handshake."""
        self.is_closed = True
        await self._connection.close()

    def schedule_close(self) -> None:
        """Schedules the close of an unneeded link; the peer is not suspected for it."""
        self.closed_normally = True
        if self._close_task is None:
            self._close_task = asyncio.create_task(self.close())

    def abort(self) -> None:
        """Drops the queued messages and aborts the connection without a handshake."""
        self.is_closed = True
        self._queue.clear()
        self._connection.transport.abort()

    async def _send_queued(self) -> None:
        while True:
            frame = self._pop_frame()
            if frame is None:
                self._has_frames.clear()
                await self._has_frames.wait()
                continue
            self.sent_bytes += len(frame)
            await self._send_frame(frame)

    def _pop_frame(self) -> bytes | None:
        if self._queue:
            frame = self._queue.popleft()
            self._queued_bytes -= len(frame)
            return frame
        if self._bulk_frames is None:
            return None
        frame = next(self._bulk_frames, b"")
        if not frame:
            self._bulk_frames = None
        return frame or self._pop_frame()

    async def _send_frame(self, frame: bytes) -> None:
        if len(frame) <= FRAGMENT_BYTES:
            await self._connection.send(frame)
        else:
            await self._connection.send(split_frame(frame))

    async def _receive_messages(
        self, handle_message: Callable[[PeerLink, Message], None]
    ) -> None:
        while True:
            message = decode_message(await self._receive_frame())
            handle_message(self, message)

    async def _receive_frame(self) -> bytes:
        parts = []
        size = 0
        async for part in self._connection.recv_streaming(decode=False):
            self.last_received_at = time.monotonic()
            size += len(part)
            self.received_bytes += len(part)
            if size > MAX_MESSAGE_BYTES:
                raise ProtocolError(
                    f"message is above the limit of {MAX_MESSAGE_BYTES} bytes"
                )
            parts.append(part)
        return b"".join(parts)


def split_frame(frame: bytes) -> Iterator[bytes]:
    """Splits an encoded message into fragments of at most ``FRAGMENT_BYTES``."""
    for start in range(0, len(frame), FRAGMENT_BYTES):
        yield frame[start : start + FRAGMENT_BYTES]
