"""Publishes records to subscribers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import logbook
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed

from .codec import MAX_MESSAGE_BYTES, decode_message, encode_message
from .exceptions import FeedError
from .messages import Subscribe, Update

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AsyncExitStack

    from websockets.asyncio.server import ServerConnection

    from ..documents.address import Address
    from .record_log import RecordBatch, RecordLog

# Longest interval between two messages to a subscriber, in seconds.
HEARTBEAT_S = 0.25
# A subscriber that takes longer to accept a message is disconnected, in seconds.
SEND_TIMEOUT_S = 2.0

logger = logbook.Logger("verbenacross.feed.publisher")


class Publisher:
    """Publishes the records of a log to subscribers, each at its own pace.

    A slow subscriber receives only the latest record of each key, so no queue builds
    up. ``subscriber_count`` is the number of open subscriptions.
    """

    def __init__(self, log: RecordLog, is_fresh: Callable[[], bool]) -> None:
        self.subscriber_count = 0
        self.last_subscriber_at = -float("inf")
        self._log = log
        self._is_fresh = is_fresh
        self._changed = asyncio.Event()
        log.batches.subscribe(self._handle_batch)

    async def listen(self, stack: AsyncExitStack, address: Address) -> None:
        """Accepts subscribers until the stack closes.

        Raises ``OSError`` if the address cannot be bound.
        """
        await stack.enter_async_context(
            serve(
                self._handle,
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
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _handle_batch(self, batch: RecordBatch) -> None:
        self.notify_subscribers()

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
                extra={"peer": instance, "revision": message.revision},
            )
            await self._publish(connection, message.revision)
        except (ConnectionClosed, FeedError, TimeoutError, OSError) as error:
            logger.info(
                "subscriber disconnected", extra={"peer": instance, "at": repr(error)}
            )
        finally:
            self.subscriber_count -= 1
            self.last_subscriber_at = time.monotonic()

    async def _publish(self, connection: ServerConnection, revision: int) -> None:
        while True:
            changed = self._changed
            if self._log.revision > 0:
                records, is_complete = self._log.get_records_since(revision)
                revision = max(revision, self._log.revision)
                update = Update(revision, is_complete, self._is_fresh(), records)
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await connection.send(encode_message(update))
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    await changed.wait()
            except TimeoutError:
                continue
