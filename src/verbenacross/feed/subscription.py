"""A subscription to the records of another instance."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import logbook
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, WebSocketException

from ..infrastructure.key_value_store import NO_POSITION
from .codec import MAX_MESSAGE_BYTES, decode_message, encode_message
from .exceptions import FeedError
from .messages import Status, Subscribe, Update

if TYPE_CHECKING:
    from collections.abc import Callable

    from websockets.asyncio.client import ClientConnection

    from .record_log import RecordLog

# A live peer sends a heartbeat every quarter of a second, to a standby subscriber every
# half second.
RECEIVE_TIMEOUT_S = 0.75
STANDBY_RECEIVE_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.4
# A peer that starts to read the store because of a subscription is connected to it
# after one update of its synchronizer and one call to the store.
PEER_START_TIMEOUT_S = 0.5
# The same until the second message to a standby subscriber, in seconds.
STANDBY_PEER_START_TIMEOUT_S = 1.2
# A peer that lost the store is replaced after this time, in seconds, unless only its
# connection stopped responding and has been replaced by then.
PEER_RECONNECT_TIMEOUT_S = 0.2
# A source is replaced once the standby has had newer records for this time, in seconds.
# It may have lost the store without having detected it yet.
MAX_STANDBY_LEAD_S = 0.5
# While nothing is known after a start, records of a peer that has lost the store are
# used only after this time, in seconds: they may name upstreams that have left since,
# and the store answers a first read sooner if it can be reached.
STALE_START_DELAY_S = 1.0
# A peer that has sent no message for this time, in seconds, may be sending a large one.
IDLE_TIMEOUT_S = 0.4

logger = logbook.Logger("verbenacross.feed.subscription")


class Subscription:
    """A subscription to the records of another instance.

    With ``is_standby`` the peer sends no records, only its revision, which shows
    whether this instance's source falls behind. The subscription ends when no message
    arrives for some time. ``on_connected`` is called when the peer, unless it is a
    standby, is connected to the store again, ``on_records`` before records of a peer
    are merged that is not. ``has_ended`` is set at the end, and ``is_peer_unavailable``
    if the peer should not be tried again at once. ``started_at`` is the monotonic time
    of this instance's start.
    """

    def __init__(
        self,
        own_instance: str,
        peer: str,
        address: str,
        log: RecordLog,
        on_connected: Callable[[], None],
        on_records: Callable[[], None],
        *,
        is_standby: bool = False,
        started_at: float = -float("inf"),
    ) -> None:
        self.peer = peer
        self.is_standby = is_standby
        self.address = address
        self.has_ended = False
        self.is_peer_unavailable = False
        self._own_instance = own_instance
        self._log = log
        self._on_connected = on_connected
        self._on_records = on_records
        self._started_at = started_at
        # Updates that are not merged yet.
        self._pending: list[Update] = []
        self._last_message_at = -float("inf")
        self._last_fragment_at = -float("inf")
        self._is_fresh = False
        self._first_message_at: float | None = None
        # When the peer, which had been connected to the store, lost the connection.
        self._lost_at: float | None = None
        self._receive_timeout_s = (
            STANDBY_RECEIVE_TIMEOUT_S if is_standby else RECEIVE_TIMEOUT_S
        )
        self._peer_start_timeout_s = (
            STANDBY_PEER_START_TIMEOUT_S if is_standby else PEER_START_TIMEOUT_S
        )
        # The first position of a standby peer that the local records have not reached,
        # and when the peer reported it.
        self._awaited_position = NO_POSITION
        self._awaited_since = 0.0

    def is_fresh(self) -> bool:
        """Returns whether the peer recently reported a connection to the store."""
        return (
            self._is_fresh
            and time.monotonic() - self._last_fragment_at < self._receive_timeout_s
        )

    def get_lead_s(self) -> float:
        """Returns for how long a standby peer has had newer records, in seconds."""
        if self._log.position >= self._awaited_position or not self.is_fresh():
            return 0.0
        return time.monotonic() - self._awaited_since

    def is_behind(self, lead_s: float) -> bool:
        """Returns whether the peer lacks records that a standby has had for a time.

        A peer that may be sending them is not behind.
        """
        if self.is_standby or self._first_message_at is None:
            return False
        now = time.monotonic()
        return (
            min(lead_s, now - self._first_message_at) > MAX_STANDBY_LEAD_S
            and now - self._last_message_at < IDLE_TIMEOUT_S
        )

    def is_peer_stale(self) -> bool:
        """Returns whether the peer is alive but not connected to the store.

        A peer is allowed some time to start reading, and to replace a connection.
        """
        if self.has_ended or self._first_message_at is None or self.is_fresh():
            return False
        now = time.monotonic()
        if self._lost_at is not None:
            return now - self._lost_at > PEER_RECONNECT_TIMEOUT_S
        return now - self._first_message_at > self._peer_start_timeout_s

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
            subscribe = Subscribe(
                self._own_instance, *self._log.position, self.is_standby
            )
            await connection.send(encode_message(subscribe))
            while True:
                self._handle_message(decode_message(await self._receive(connection)))
        except (TimeoutError, OSError, WebSocketException, FeedError) as error:
            self._end(error)
        finally:
            # A closing handshake would wait for a peer that may be unreachable.
            connection.transport.abort()

    async def _receive(self, connection: ClientConnection) -> bytes:
        """Receives a message, each fragment of it in time."""
        fragments: list[bytes] = []
        stream = connection.recv_streaming(decode=False)
        while True:
            async with asyncio.timeout(self._receive_timeout_s):
                fragment = await anext(stream, None)
            if fragment is None:
                return b"".join(fragments)
            fragments.append(fragment)
            self._last_fragment_at = time.monotonic()

    def _handle_message(self, message: object) -> None:
        match message:
            case Update() if not self.is_standby:
                self._record_status(message)
                if message.era < self._log.position.era:
                    return
                self._pending.append(message)
                if self._is_usable(message):
                    self._merge_pending()
            case Status() if self.is_standby:
                self._record_status(message)
                if self._log.position >= self._awaited_position:
                    self._awaited_position = message.position
                    self._awaited_since = time.monotonic()
            case _:
                raise FeedError(f"unexpected {type(message).__name__}")

    def _is_usable(self, update: Update) -> bool:
        """Returns whether to use the records of an update and those before it."""
        if update.is_fresh or self._log.revision > 0:
            return True
        return time.monotonic() - self._started_at >= STALE_START_DELAY_S

    def _merge_pending(self) -> None:
        for update in self._pending:
            if update.records and not update.is_fresh:
                self._on_records()
            previous_revision = self._log.revision
            counts = self._log.merge(
                update.records,
                update.position,
                self.peer,
                is_complete=update.is_complete,
            )
            if update.is_complete:
                logger.info(
                    "received all records",
                    extra={
                        "peer": self.peer,
                        "era": update.era,
                        "revision": update.revision,
                        "previous_revision": previous_revision,
                        "taken": counts.taken,
                        "ignored": counts.ignored,
                    },
                )
        self._pending.clear()

    def _record_status(self, message: Update | Status) -> None:
        # Records of an earlier era do not match the store.
        is_fresh = message.is_fresh and message.era >= self._log.position.era
        if is_fresh and not self._is_fresh:
            if not self.is_standby:
                self._on_connected()
            self._lost_at = None
            logger.info(
                "peer is connected to the store",
                extra={
                    "peer": self.peer,
                    "is_standby": self.is_standby,
                    "peer_era": message.era,
                    "peer_revision": message.revision,
                    "era": self._log.position.era,
                    "revision": self._log.revision,
                },
            )
        elif not is_fresh and self._is_fresh:
            self._lost_at = time.monotonic()
            logger.info(
                "peer lost its connection to the store",
                extra={
                    "peer": self.peer,
                    "peer_era": message.era,
                    "peer_revision": message.revision,
                    "era": self._log.position.era,
                    "revision": self._log.revision,
                },
            )
        self._is_fresh = is_fresh
        self._last_message_at = time.monotonic()
        if self._first_message_at is None:
            self._first_message_at = self._last_message_at

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
