"""Accepts the links of the children of a coordinator."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
from websockets.exceptions import ConnectionClosed

from .codec import decode_message, encode_message
from .exceptions import QuotaError
from .messages import Heartbeat, Hello, Message, Report

if TYPE_CHECKING:
    from collections.abc import Callable

    from websockets.asyncio.server import ServerConnection

    from .quota_coordinator import QuotaCoordinator

HELLO_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 1.0
# Longest interval between two messages to a child, in seconds. Children replace a
# coordinator after 0.45 s without one.
HEARTBEAT_S = 0.2
# Shortest interval between two changes sent to another domain, in seconds: these bytes
# are paid for.
REMOTE_INTERVAL_S = 0.2
# All fractions are repeated after this time, in seconds.
REPEAT_S = 1.0

logger = logbook.Logger("verbenacross.quotas.server")


class QuotaServer:
    """Serves the children of a coordinator, each on one websocket connection.

    Accepts children while ``coordinator`` is set. ``may_accept`` returns whether an
    instance may be a child.
    """

    def __init__(
        self,
        failure_domain: str,
        may_accept: Callable[[Hello], bool],
    ) -> None:
        self.received_messages = 0
        self.sent_messages = 0
        self.sent_bytes = 0
        self._failure_domain = failure_domain
        self.coordinator: QuotaCoordinator | None = None
        self._may_accept = may_accept
        self._changed = asyncio.Event()

    def notify_children(self) -> None:
        """Sends the current fractions to the children that do not have them."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def handle(self, connection: ServerConnection) -> None:
        """Serves a child until the connection ends."""
        key = object()
        instance = "unknown"
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                hello = decode_message(await connection.recv())
            if not isinstance(hello, Hello):
                raise QuotaError("expected Hello as the first message")
            instance = hello.instance
            coordinator = self.coordinator
            if coordinator is None or not self._may_accept(hello):
                raise QuotaError("this instance does not coordinate the sender")
            logger.info(
                "quota child connected",
                extra={
                    "peer": instance,
                    "failure_domain": hello.failure_domain,
                    "is_coordinator": hello.is_coordinator,
                },
            )
            coordinator.connect(key, hello, loop.time())
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._receive(connection, coordinator, key))
                    group.create_task(self._send(connection, coordinator, hello))
            finally:
                coordinator.disconnect(key)
        except* (ConnectionClosed, QuotaError, TimeoutError, OSError) as errors:
            logger.info(
                "quota child disconnected",
                extra={"peer": instance, "reason": repr(errors.exceptions[0])},
            )
        finally:
            connection.transport.abort()

    async def _receive(
        self, connection: ServerConnection, coordinator: QuotaCoordinator, key: object
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            report = decode_message(await connection.recv())
            if not isinstance(report, Report):
                raise QuotaError(f"unexpected {type(report).__name__}")
            self.received_messages += 1
            version = coordinator.version
            coordinator.receive(key, report, loop.time())
            if coordinator.version != version:
                self.notify_children()

    async def _send(
        self, connection: ServerConnection, coordinator: QuotaCoordinator, hello: Hello
    ) -> None:
        loop = asyncio.get_running_loop()
        is_remote = hello.failure_domain != self._failure_domain
        sent: dict[str, float] | None = None
        sent_all_at = -REPEAT_S
        while True:
            if coordinator is not self.coordinator:
                raise QuotaError("this instance no longer coordinates the sender")
            changed = self._changed
            fractions = coordinator.get_fractions(hello)
            message: Message = fractions
            if fractions.fractions == sent and loop.time() - sent_all_at < REPEAT_S:
                message = Heartbeat(fractions.version)
            else:
                sent, sent_all_at = fractions.fractions, loop.time()
            data = encode_message(message)
            self.sent_messages += 1
            self.sent_bytes += len(data)
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await connection.send(data)
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    await changed.wait()
            except TimeoutError:
                continue
            if is_remote:
                delay_s = sent_all_at + REMOTE_INTERVAL_S - loop.time()
                await asyncio.sleep(max(0.0, delay_s))
