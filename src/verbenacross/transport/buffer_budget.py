"""Limits the memory that the responses of a process take at one time."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Self

from .exceptions import StreamLimitError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from types import TracebackType

    import aiohttp

# What a streamed response takes at most: 96 KiB that its connection has read, as much
# again in the part that is being sent, and 160 KiB on the caller's connection.
STREAM_BYTES = 360_448


class BufferBudget:
    """Memory that the responses of a process may take together.

    ``max_bytes`` limits the bodies that are held until they are complete, and in
    addition the buffers of those that are streamed.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.stream_count = 0
        self._stream_slots = asyncio.Semaphore(max(1, max_bytes // STREAM_BYTES))

    def open(self) -> BufferReservation:
        """Returns an empty reservation; closing it returns its bytes."""
        return BufferReservation(self)

    @asynccontextmanager
    async def open_stream(
        self, response: aiohttp.ClientResponse, deadline: float
    ) -> AsyncIterator[None]:
        """Reserves the buffers of a streamed response while the context is open.

        Waits while too many are streamed, without reading from the connection of the
        response. Raises ``StreamLimitError`` at the deadline.
        """
        if self._stream_slots.locked():
            await self._wait_for_slot(response, deadline)
        else:
            await self._stream_slots.acquire()
        self.stream_count += 1
        try:
            yield
        finally:
            self.stream_count -= 1
            self._stream_slots.release()

    async def _wait_for_slot(
        self, response: aiohttp.ClientResponse, deadline: float
    ) -> None:
        connection = response.connection
        protocol = connection.protocol if connection is not None else None
        if protocol is not None:
            protocol.pause_reading()
        try:
            async with asyncio.timeout_at(deadline):
                await self._stream_slots.acquire()
        except TimeoutError as error:
            raise StreamLimitError(
                f"{self.stream_count} other responses were streamed until the deadline"
            ) from error
        if protocol is not None:
            protocol.resume_reading()


class BufferReservation:
    """Bytes that one request holds; a context manager."""

    def __init__(self, budget: BufferBudget) -> None:
        self.budget = budget
        self._bytes = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.release()

    def reserve(self, size: int) -> bool:
        """Reserves more bytes; returns ``False`` if the budget has too few left."""
        budget = self.budget
        if budget.held_bytes + size > budget.max_bytes:
            return False
        budget.held_bytes += size
        self._bytes += size
        return True

    def release(self) -> None:
        """Returns all bytes, which are no longer held."""
        self.budget.held_bytes -= self._bytes
        self._bytes = 0

    def take_over(self, other: BufferReservation) -> None:
        """Takes over the bytes of another reservation of the same budget."""
        self._bytes += other._bytes
        other._bytes = 0
