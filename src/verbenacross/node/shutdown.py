"""Graceful shutdown in stages."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import logbook

from ..transport.drain import Drain

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..transport.caller_server import CallerServer
    from .settings import NodeSettings

# The load balancer in front checks readiness once a second and opens no new connections
# after two failed checks; some connections are still being opened then.
DEREGISTRATION_DELAY_S = 2.6
# All requests are taken for this time, in seconds: the first ones on connections that
# were opened until then arrive a little later.
TAKE_ALL_S = 3.0
# Share of the grace period after which all requests on open connections are refused.
REFUSE_AFTER_SHARE = 0.5
# Time before the kill at which the process stops waiting for requests, in seconds. The
# servers take up to 0.25 s to close; the rest is for the end of the interpreter.
KILL_MARGIN_S = 0.5
# A request that was sent before its caller received the last response on the connection
# arrives within this time.
LATE_REQUEST_S = 0.15

logger = logbook.Logger("verbenacross.node.shutdown")


class Shutdown:
    """Stops the process in stages, so that requests in flight complete.

    First the process reports that it is not ready and asks callers to close their
    connections. Once callers open no new ones, it refuses requests that may not
    complete before the grace period ends, then all new requests. It exits when none is
    in flight and all responses have been sent, or shortly before the grace period ends.
    ``started`` is set by the request to stop.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self.drain = Drain()
        self.started = asyncio.Event()
        self.grace_s = settings.grace_period_s
        self._loop = asyncio.get_running_loop()
        self._started_at = 0.0

    def start(self) -> None:
        """Starts the shutdown; has no effect if it is started already."""
        if self.started.is_set():
            return
        self._started_at = self._loop.time()
        self.drain.start(self._started_at + TAKE_ALL_S, self._get_end())
        self.started.set()
        logger.info("stopping", extra={"in_flight": self.drain.in_flight})

    def is_refusing(self, deadline: float = -math.inf) -> bool:
        """Returns whether a new request that may take until a deadline is refused.

        Without a deadline, whether all new requests are.
        """
        if not self.started.is_set():
            return False
        if self.drain.is_refusing(deadline):
            return True
        elapsed_s = self._loop.time() - self._started_at
        return elapsed_s >= max(
            DEREGISTRATION_DELAY_S, REFUSE_AFTER_SHARE * self.grace_s
        )

    async def wait(
        self, server: CallerServer, stop_listening: Callable[[], Awaitable[None]]
    ) -> None:
        """Waits until the process may exit, and closes the connections of callers."""
        await self.started.wait()
        end = self._get_end()
        refuse_at = self._started_at + max(
            DEREGISTRATION_DELAY_S, REFUSE_AFTER_SHARE * self.grace_s
        )
        await asyncio.sleep(min(refuse_at, end) - self._loop.time())
        while self._loop.time() < end:
            await self.drain.wait_complete(server, end)
            await asyncio.sleep(min(LATE_REQUEST_S, max(0.0, end - self._loop.time())))
            if self.drain.in_flight == 0 and not server.count_unsent_bytes():
                break
        await stop_listening()
        await server.close_idle(end)
        logger.info(
            "stopped",
            extra={
                "in_flight": self.drain.in_flight,
                "unsent_bytes": server.count_unsent_bytes(),
                "after_s": round(self._loop.time() - self._started_at, 2),
            },
        )

    def _get_end(self) -> float:
        return self._started_at + self.grace_s - KILL_MARGIN_S
