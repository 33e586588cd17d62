"""What the choice of an upstream needs to know of a request."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Demand:
    """A request that needs an upstream; times are those of the event loop.

    ``target_at`` is when the answer stops being fully useful, ``deadline`` when it
    stops being useful at all. ``excluded`` holds the ids of upstreams already tried,
    ``kind`` names requests that take about the same work.
    """

    request_id: str
    kind: str
    priority: int
    arrived: float
    target_at: float
    deadline: float
    excluded: set[str] = field(default_factory=set)
