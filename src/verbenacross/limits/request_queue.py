"""Queue of the requests of a service that wait in the entry for an upstream."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Collection, Iterator

    from ..routing import RequestContext, UpstreamState


class QueueKey(NamedTuple):
    """Sort key in the queue: highest priority first, then earliest deadline."""

    rank: int
    deadline: float
    sequence: int


class QueuedRequest(NamedTuple):
    """A request that waits for an upstream; ``granted`` resolves to that upstream."""

    key: QueueKey
    context: RequestContext
    excluded: Collection[str]
    granted: asyncio.Future[UpstreamState]


class RequestQueue:
    """Queued requests, ordered by priority, then deadline, then arrival."""

    def __init__(self) -> None:
        self._requests: list[QueuedRequest] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(self._requests)

    def build_key(self, context: RequestContext) -> QueueKey:
        """Returns the sort key of a request that arrives now."""
        self._sequence += 1
        rank = -context.request_class.priority
        return QueueKey(rank, context.deadline, self._sequence)

    def count_ahead(self, key: QueueKey) -> int:
        """Returns the number of queued requests ahead of a sort key."""
        return bisect.bisect_left(self._requests, key, key=lambda item: item.key)

    def add(self, request: QueuedRequest) -> None:
        """Inserts a request at the position of its sort key."""
        bisect.insort(self._requests, request, key=lambda item: item.key)

    def remove(self, request: QueuedRequest) -> None:
        """Removes a request if it is still queued."""
        position = self.count_ahead(request.key)
        if position < len(self._requests) and self._requests[position] is request:
            del self._requests[position]

    def get_last(self) -> QueuedRequest:
        """Returns the request that would be dispatched last."""
        return self._requests[-1]

    def get_first(self, count: int) -> list[QueuedRequest]:
        """Returns up to ``count`` requests from the front of the queue."""
        return self._requests[:count]
