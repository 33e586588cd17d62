"""Publishes records to subscribers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, NamedTuple

import logbook
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed

from .codec import MAX_MESSAGE_BYTES, decode_message, encode_message
from .exceptions import FeedError
from .messages import Status, Subscribe, Update

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from contextlib import AsyncExitStack

    from websockets.asyncio.server import ServerConnection

    from ..documents.address import Address
    from ..infrastructure.key_value_store import StorePosition
    from .record_log import RecordBatch, RecordLog

# Longest interval between two messages to a subscriber, in seconds.
HEARTBEAT_S = 0.25
# Interval between two messages to a standby subscriber, in seconds. It usually is in
# another failure domain, where each byte is paid for.
STANDBY_HEARTBEAT_S = 0.5
# A subscriber that takes longer to accept a message is disconnected, in seconds.
SEND_TIMEOUT_S = 5.0
# Longer messages are sent in fragments of this size, in bytes, so that a subscriber
# behind a slow link notices their progress.
FRAGMENT_BYTES = 8_192
# Encoded updates kept for subscribers that are at the same revision.
MAX_CACHED_FRAMES = 16

logger = logbook.Logger("verbenacross.feed.publisher")


class FrameKey(NamedTuple):
    """What an encoded update depends on."""

    subscriber: StorePosition
    own: StorePosition
    is_fresh: bool


class Publisher:
    """Publishes the records of a log to subscribers, each at its own pace.

    A slow subscriber receives only the latest record of each key, so no queue builds
    up. ``subscriber_count`` is the number of open subscriptions, ``receiver_count`` the
    number of those that receive records, which excludes standby subscribers.
    ``handlers`` serve the connections whose requests have other paths than "/", by
    path.
    """

    def __init__(self, log: RecordLog, is_fresh: Callable[[], bool]) -> None:
        self.subscriber_count = 0
        self.receiver_count = 0
        self.last_subscriber_at = -float("inf")
        self.handlers: dict[str, Callable[[ServerConnection], Awaitable[None]]] = {}
        self._log = log
        self._is_fresh = is_fresh
        # Replaced when records or the freshness change, and when only the latter does.
        self._changed = asyncio.Event()
        self._freshness_changed = asyncio.Event()
        self._frames: dict[FrameKey, bytes] = {}
        log.batches.subscribe(self._handle_batch)

    async def listen(self, stack: AsyncExitStack, address: Address) -> None:
        """Accepts subscribers until the stack closes.

        Raises ``OSError`` if the address cannot be bound.
        """
        await stack.enter_async_context(
            serve(
                self._dispatch if self.handlers else self._handle,
                address.host,
                address.port,
                compression=None,
                ping_interval=None,
                close_timeout=0.1,
                max_size=MAX_MESSAGE_BYTES,
            )
        )

    def notify_subscribers(self) -> None:
        """Sends pending records and the current freshness to all subscribers."""
        changed, self._freshness_changed = self._freshness_changed, asyncio.Event()
        changed.set()
        self._notify_receivers()

    def _notify_receivers(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _handle_batch(self, batch: RecordBatch) -> None:
        self._notify_receivers()

    async def _dispatch(self, connection: ServerConnection) -> None:
        path = connection.request.path if connection.request else ""
        await self.handlers.get(path, self._handle)(connection)

    async def _handle(self, connection: ServerConnection) -> None:
        instance = "unknown"
        self.subscriber_count += 1
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                message = decode_message(await connection.recv())
            if not isinstance(message, Subscribe):
                raise FeedError("expected Subscribe as the first message")
            instance = message.instance
            logger.info(
                "subscriber connected",
                extra={
                    "peer": instance,
                    "era": message.era,
                    "revision": message.revision,
                    "is_standby": message.is_standby,
                },
            )
            if message.is_standby:
                await self._publish_status(connection)
            else:
                self.receiver_count += 1
                try:
                    await self._publish(connection, message.position)
                finally:
                    self.receiver_count -= 1
        except (ConnectionClosed, FeedError, TimeoutError, OSError) as error:
            logger.info(
                "subscriber disconnected", extra={"peer": instance, "at": repr(error)}
            )
        finally:
            self.subscriber_count -= 1
            self.last_subscriber_at = time.monotonic()

    async def _publish(
        self, connection: ServerConnection, position: StorePosition
    ) -> None:
        while True:
            changed = self._changed
            if self._log.revision > 0:
                frame, position = self._encode_update(position)
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await connection.send(split_frame(frame))
            await wait_for_event(changed, HEARTBEAT_S)

    async def _publish_status(self, connection: ServerConnection) -> None:
        while True:
            changed = self._freshness_changed
            if self._log.revision > 0:
                status = Status(*self._log.position, self._is_fresh())
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await connection.send(encode_message(status))
            await wait_for_event(changed, STANDBY_HEARTBEAT_S)

    def _encode_update(self, position: StorePosition) -> tuple[bytes, StorePosition]:
        """Returns an update from a position on, and the position that it reaches."""
        own = self._log.position
        if own.era < position.era:
            # These records are older than all that the subscriber has.
            return encode_message(Update(*own, False, False, ())), position
        key = FrameKey(position, max(position, own), self._is_fresh())
        frame = self._frames.get(key)
        if frame is None:
            records, is_complete = self._log.get_records_since(position)
            update = Update(*key.own, is_complete, key.is_fresh, records)
            while len(self._frames) >= MAX_CACHED_FRAMES:
                self._frames.pop(next(iter(self._frames)))
            frame = self._frames[key] = encode_message(update)
        return frame, key.own


def split_frame(frame: bytes) -> bytes | list[bytes]:
    """Splits a frame into the fragments that are sent one after the other."""
    if len(frame) <= FRAGMENT_BYTES:
        return frame
    return [
        frame[start : start + FRAGMENT_BYTES]
        for start in range(0, len(frame), FRAGMENT_BYTES)
    ]


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> None:
    """Waits until an event is set or the timeout is over."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
