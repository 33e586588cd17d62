"""Drains the requests in flight before a process stops."""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING

from .caller_request import end_input

if TYPE_CHECKING:
    from aiohttp import web

    from .caller_server import CallerServer

# Time for a response at the deadline of a request to reach its caller, in seconds.
LAST_RESPONSE_S = 0.1


class Drain:
    """Counts requests in flight and waits for them at shutdown."""

    def __init__(self) -> None:
        self.started = False
        self._end = math.inf
        self._take_all_until = math.inf
        self.in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def begin_request(self) -> None:
        """Counts a request as in flight."""
        self.in_flight += 1

    def end_request(self) -> None:
        """Counts a request as completed."""
        self.in_flight -= 1
        if self.started and self.in_flight == 0:
            self._idle.set()

    def start(self, take_all_until: float, end: float) -> None:
        """Starts draining until a monotonic time at which requests are cut off.

        Callers open no new connections to this process from ``take_all_until`` on.
        """
        self.started = True
        self._take_all_until = take_all_until
        self._end = end
        if self.in_flight:
            self._idle.clear()

    def is_refusing(self, deadline: float) -> bool:
        """Returns whether to refuse a request that may take until a deadline.

        That is one which the end of the process may cut off. Before callers have
        stopped opening connections, the caller's next attempt may reach this process
        again, so such a request is taken.
        """
        if time.monotonic() < self._take_all_until:
            return False
        return deadline > self._end - LAST_RESPONSE_S

    def limit_deadline(self, deadline: float) -> float:
        """Returns the deadline of a request, at most what the process can keep.

        Its caller is then told the outcome instead of being cut off, and its upstream
        does not work for nobody.
        """
        return min(deadline, self._end - LAST_RESPONSE_S)

    def set_connection_close(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        """Adds ``Connection: close`` to a response that is sent while draining.

        A request that has arrived behind is answered before the connection closes.
        """
        if self.started and end_input(request):
            response.force_close()

    async def wait_idle(self, timeout_s: float) -> bool:
        """Waits until no request is in flight; returns ``False`` on a timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.in_flight:
                    self._idle.clear()
                    await self._idle.wait()
        except TimeoutError:
            return False
        return True

    async def wait_complete(self, server: CallerServer, end: float) -> bool:
        """Waits until no request is in flight and all responses have been sent.

        Returns ``False`` if that is not so at a monotonic time.
        """
        while (left_s := end - time.monotonic()) > 0:
            if not await self.wait_idle(left_s):
                return False
            if not await server.wait_sent(end - time.monotonic()):
                return False
            if self.in_flight == 0:
                return True
        return self.in_flight == 0 and not server.count_unsent_bytes()
