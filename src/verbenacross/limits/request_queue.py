"""Requests of a service that wait in the entry."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Collection, Iterator

    from ..routing import RequestContext, UpstreamState


class QueueOrder(NamedTuple):
    """Place in the queue: highest priority first, then earliest deadline."""

    rank: int
    deadline: float
    sequence: int


class Waiter(NamedTuple):
    """A request that waits for an upstream."""

    order: QueueOrder
    context: RequestContext
    excluded: Collection[str]
    granted: asyncio.Future[UpstreamState]


class RequestQueue:
    """Waiting requests by priority, then deadline, then arrival."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def __iter__(self) -> Iterator[Waiter]:
        return iter(self._waiters)

    def build_order(self, context: RequestContext) -> QueueOrder:
        """Returns the place of a request that arrives now."""
        self._sequence += 1
        rank = -context.request_class.priority
        return QueueOrder(rank, context.deadline, self._sequence)

    def count_before(self, order: QueueOrder) -> int:
        """Returns how many requests stand before a place."""
        return bisect.bisect_left(self._waiters, order, key=lambda item: item.order)

    def add(self, waiter: Waiter) -> None:
        """Adds a request at its place."""
        bisect.insort(self._waiters, waiter, key=lambda item: item.order)

    def remove(self, waiter: Waiter) -> None:
        """Removes a request if it still waits."""
        position = self.count_before(waiter.order)
        if position < len(self._waiters) and self._waiters[position] is waiter:
            del self._waiters[position]

    def get_last(self) -> Waiter:
        """Returns the request that would be served last."""
        return self._waiters[-1]

    def get_first(self, count: int) -> list[Waiter]:
        """Returns the requests that are served next."""
        return self._waiters[:count]
