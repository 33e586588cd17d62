"""A subscription to the records of another instance."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import logbook
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, WebSocketException

from .codec import MAX_MESSAGE_BYTES, decode_message, encode_message
from .exceptions import FeedError
from .messages import Subscribe, Update

if TYPE_CHECKING:
    from collections.abc import Callable

    from .record_log import RecordLog

# A peer that is alive sends a heartbeat every quarter of a second.
SILENCE_S = 0.75
CONNECT_TIMEOUT_S = 0.4
# A peer that begins to read because it is asked is in touch after a step of its
# synchronizer and a call to the store.
START_S = 0.5

logger = logbook.Logger("verbenacross.feed.subscription")


class Subscription:
    """A subscription to the records of another instance.

    It ends when the peer falls silent, and tells whether the peer is in touch with the
    store; ``on_contact`` is called when it is so again. ``failed`` is set once it has
    ended, ``is_peer_lost`` if another connection to the peer is not worth a try.
    """

    def __init__(
        self,
        own: str,
        peer: str,
        address: str,
        log: RecordLog,
        on_contact: Callable[[], None],
    ) -> None:
        self.peer = peer
        self.address = address
        self.failed = False
        self.is_peer_lost = False
        self._own = own
        self._log = log
        self._on_contact = on_contact
        self._fresh_at = -float("inf")
        self._is_fresh = False
        self._was_fresh = False
        self._heard_at: float | None = None

    def is_fresh(self) -> bool:
        """Returns whether the peer was in touch with the store just now."""
        return self._is_fresh and time.monotonic() - self._fresh_at < SILENCE_S

    def is_out_of_touch(self) -> bool:
        """Returns whether the peer is alive but not in touch with the store."""
        if self.failed or self._heard_at is None or self.is_fresh():
            return False
        return self._was_fresh or time.monotonic() - self._heard_at > START_S

    async def run(self) -> None:
        """Takes records until the peer falls silent or the task is cancelled."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await connect(
                    f"ws://{self.address}",
                    compression=None,
                    ping_interval=None,
                    close_timeout=0.1,
                    max_size=MAX_MESSAGE_BYTES,
                    proxy=None,
                )
        except (TimeoutError, OSError, WebSocketException) as error:
            self._end(error)
            return
        try:
            subscribe = Subscribe(self._own, self._log.revision)
            await connection.send(encode_message(subscribe))
            while True:
                async with asyncio.timeout(SILENCE_S):
                    message = decode_message(await connection.recv())
                self._take(message)
        except (TimeoutError, OSError, WebSocketException, FeedError) as error:
            self._end(error)
        finally:
            # Closing politely would wait for a peer that may be gone.
            connection.transport.abort()

    def _take(self, message: object) -> None:
        if not isinstance(message, Update):
            raise FeedError("the message is no update")
        if message.is_fresh and not self._is_fresh:
            self._on_contact()
            self._was_fresh = True
            logger.info("peer is in touch with the store", extra={"peer": self.peer})
        elif not message.is_fresh and self._is_fresh:
            logger.info("peer lost touch with the store", extra={"peer": self.peer})
        self._is_fresh = message.is_fresh
        self._fresh_at = time.monotonic()
        if self._heard_at is None:
            self._heard_at = self._fresh_at
        self._log.take(
            message.records,
            message.revision,
            self.peer,
            is_complete=message.is_complete,
        )

    def _end(self, error: Exception) -> None:
        self.failed = True
        # A connection can be reset or go silent although its peer is well.
        ended = isinstance(error, TimeoutError | ConnectionClosed)
        self.is_peer_lost = self._heard_at is None or not ended
        self._is_fresh = False
        logger.info(
            "subscription ended", extra={"peer": self.peer, "reason": repr(error)}
        )
