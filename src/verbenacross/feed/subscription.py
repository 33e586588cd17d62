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

# A live peer sends a heartbeat every quarter of a second.
RECEIVE_TIMEOUT_S = 0.75
CONNECT_TIMEOUT_S = 0.4
# A peer that starts to read the store because of a subscription is connected to it
# after one update of its synchronizer and one call to the store.
PEER_START_TIMEOUT_S = 0.5

logger = logbook.Logger("verbenacross.feed.subscription")


class Subscription:
    """A subscription to the records of another instance.

    It ends when no message arrives for ``RECEIVE_TIMEOUT_S``. ``on_connected`` is
    called when the peer is connected to the store again. ``has_ended`` is set at the
    end, and ``is_peer_unavailable`` if the peer should not be tried again at once.
    """

    def __init__(
        self,
        own_instance: str,
        peer: str,
        address: str,
        log: RecordLog,
        on_connected: Callable[[], None],
    ) -> None:
        self.peer = peer
        self.address = address
        self.has_ended = False
        self.is_peer_unavailable = False
        self._own_instance = own_instance
        self._log = log
        self._on_connected = on_connected
        self._last_message_at = -float("inf")
        self._is_fresh = False
        self._has_been_fresh = False
        self._first_message_at: float | None = None

    def is_fresh(self) -> bool:
        """Returns whether the peer recently reported a connection to the store."""
        return (
            self._is_fresh
            and time.monotonic() - self._last_message_at < RECEIVE_TIMEOUT_S
        )

    def is_peer_stale(self) -> bool:
        """Returns whether the peer is alive but not connected to the store.

        A peer that has never been connected is allowed ``PEER_START_TIMEOUT_S``.
        """
        if self.has_ended or self._first_message_at is None or self.is_fresh():
            return False
        return (
            self._has_been_fresh
            or time.monotonic() - self._first_message_at > PEER_START_TIMEOUT_S
        )

    async def run(self) -> None:
        """Merges the peer's records until the connection fails or until cancelled."""
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
            subscribe = Subscribe(self._own_instance, self._log.revision)
            await connection.send(encode_message(subscribe))
            while True:
                async with asyncio.timeout(RECEIVE_TIMEOUT_S):
                    message = decode_message(await connection.recv())
                self._handle_message(message)
        except (TimeoutError, OSError, WebSocketException, FeedError) as error:
            self._end(error)
        finally:
            # A closing handshake would wait for a peer that may be unreachable.
            connection.transport.abort()

    def _handle_message(self, message: object) -> None:
        if not isinstance(message, Update):
            raise FeedError("expected Update")
        if message.is_fresh and not self._is_fresh:
            self._on_connected()
            self._has_been_fresh = True
            logger.info("peer is connected to the store", extra={"peer": self.peer})
        elif not message.is_fresh and self._is_fresh:
            logger.info(
                "peer lost its connection to the store", extra={"peer": self.peer}
            )
        self._is_fresh = message.is_fresh
        self._last_message_at = time.monotonic()
        if self._first_message_at is None:
            self._first_message_at = self._last_message_at
        self._log.merge(
            message.records,
            message.revision,
            self.peer,
            is_complete=message.is_complete,
        )

    def _end(self, error: Exception) -> None:
        self.has_ended = True
        # A connection can be reset or stop delivering data while its peer is healthy.
        is_connection_loss = isinstance(error, TimeoutError | ConnectionClosed)
        self.is_peer_unavailable = (
            self._first_message_at is None or not is_connection_loss
        )
        self._is_fresh = False
        logger.info(
            "subscription ended", extra={"peer": self.peer, "reason": repr(error)}
        )
