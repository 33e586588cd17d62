"""Requests in flight and the end of service of a process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohttp import web


class Drain:
    """Requests in flight and whether the entry is shutting down."""

    def __init__(self) -> None:
        self.started = False
        self.in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def begin_request(self) -> None:
        """Notes the start of a request."""
        self.in_flight += 1

    def end_request(self) -> None:
        """Notes the end of a request."""
        self.in_flight -= 1
        if self.started and self.in_flight == 0:
            self._idle.set()

    def start(self) -> None:
        """Starts the shutdown."""
        self.started = True
        if self.in_flight:
            self._idle.clear()

    def set_connection_close(self, response: web.StreamResponse) -> None:
        """Adds ``Connection: close`` to a response that is sent while draining."""
        if self.started:
            response.force_close()

    async def wait_idle(self, timeout_s: float) -> bool:
        """Waits for the requests in flight; returns whether all ended in time."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.in_flight:
                    self._idle.clear()
                    await self._idle.wait()
        except TimeoutError:
            return False
        return True
