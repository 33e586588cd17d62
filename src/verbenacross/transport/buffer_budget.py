"""Limits the bytes of responses that a process holds at one time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Self

if TYPE_CHECKING:
    from types import TracebackType


class BufferBudget:
    """Bytes that the requests of a process may hold together."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0

    def open(self) -> BufferReservation:
        """Returns an empty reservation; closing it returns its bytes."""
        return BufferReservation(self)


class BufferReservation:
    """Bytes that one request holds; a context manager."""

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
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
        budget = self._budget
        if budget.held_bytes + size > budget.max_bytes:
            return False
        budget.held_bytes += size
        self._bytes += size
        return True

    def release(self) -> None:
        """Returns all bytes, which are no longer held."""
        self._budget.held_bytes -= self._bytes
        self._bytes = 0
