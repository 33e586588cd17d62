"""A link to the coordinator of the domain or to the root."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import logbook
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, WebSocketException

from .codec import decode_message, encode_message
from .exceptions import QuotaError
from .messages import Fractions, Heartbeat, Hello, Report

if TYPE_CHECKING:
    from collections.abc import Callable

    from websockets.asyncio.client import ClientConnection

QUOTAS_PATH = "/quotas"
MAX_MESSAGE_BYTES = 1_048_576
CONNECT_TIMEOUT_S = 0.4
# A coordinator sends a message at least every 0.2 s.
RECEIVE_TIMEOUT_S = 0.45
# Interval between two reports of an instance, in seconds. A domain coordinator takes
# its reports less often.
SEND_INTERVAL_S = 0.1
# A child without changes sends a heartbeat at this interval, in seconds.
HEARTBEAT_S = 0.4

logger = logbook.Logger("verbenacross.quotas.link")


class ReportSource(Protocol):
    """Provides the reports of one connection."""

    def take_report(self, now: float) -> Report | None:
        """Returns the next report, ``None`` if there is nothing to send."""

    def take_heartbeat(self) -> Report:
        """Returns a report without counts."""


class QuotaLink:
    """A connection to a coordinator that sends reports and receives fractions.

    ``create_source`` is called once the connection is open; its result provides the
    reports. ``record_sent`` gets the size of each message.
    ``is_live`` is set from the first message on, ``has_ended`` at the end,
    ``was_closed`` if the connection had been open until then and the peer closed it.
    """

    def __init__(
        self,
        hello: Hello,
        peer: str,
        address: str,
        create_source: Callable[[], ReportSource],
        on_message: Callable[[QuotaLink, Fractions | Heartbeat], None],
        record_sent: Callable[[int], None],
    ) -> None:
        self.hello = hello
        self.peer = peer
        self.address = address
        self.is_live = False
        self.has_ended = False
        self.was_closed = False
        self.heard_at = 0.0
        self._create_source = create_source
        self._on_message = on_message
        self._record_sent = record_sent

    async def run(self) -> None:
        """Exchanges messages until the connection fails or until cancelled."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await connect(
                    f"ws://{self.address}{QUOTAS_PATH}",
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
            await self._send(connection, self.hello)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._receive(connection))
                group.create_task(self._send_reports(connection))
        except* (TimeoutError, OSError, WebSocketException, QuotaError) as errors:
            self._end(errors.exceptions[0])
        except* Exception:
            logger.exception("quota link failed", extra={"peer": self.peer})
        finally:
            # Another link replaces this one, whatever ended it.
            self.has_ended = True
            # A closing handshake would wait for a peer that may be unreachable.
            connection.transport.abort()

    async def _receive(self, connection: ClientConnection) -> None:
        while True:
            async with asyncio.timeout(RECEIVE_TIMEOUT_S):
                data = await connection.recv()
            message = decode_message(data)
            if not isinstance(message, Fractions | Heartbeat):
                raise QuotaError(f"unexpected {type(message).__name__}")
            self.is_live = True
            self.heard_at = asyncio.get_running_loop().time()
            self._on_message(self, message)

    async def _send_reports(self, connection: ClientConnection) -> None:
        source = self._create_source()
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        while True:
            report = source.take_report(loop.time())
            if report is None and loop.time() - sent_at >= HEARTBEAT_S:
                report = source.take_heartbeat()
            if report is not None:
                sent_at = loop.time()
                await self._send(connection, report)
            await asyncio.sleep(SEND_INTERVAL_S)

    async def _send(
        self, connection: ClientConnection, message: Hello | Report
    ) -> None:
        data = encode_message(message)
        self._record_sent(len(data))
        await connection.send(data)

    def _end(self, error: Exception) -> None:
        self.has_ended = True
        self.was_closed = isinstance(error, ConnectionClosed)
        logger.info(
            "quota link ended",
            extra={"peer": self.peer, "was_live": self.is_live, "reason": repr(error)},
        )
