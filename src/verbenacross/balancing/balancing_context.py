"""Properties of a request that the choice of an upstream depends on."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class BalancingContext:
    """A request that needs an upstream; times are those of the event loop.

    After ``target_at`` the response loses part of its value, after ``deadline`` all of
    it. ``excluded`` contains the ids of upstreams that earlier attempts were sent to,
    ``request_kind`` groups requests with similar service times. ``cold_token`` is the
    id of the cold upstream whose token the latest assignment took, empty if none.
    ``is_held_back`` states that the request had to wait because of reserved slots.
    """

    request_id: str
    request_kind: str
    priority: int
    arrived_at: float
    target_at: float
    deadline: float
    excluded: set[str] = field(default_factory=set)
    cold_token: str = ""
    is_held_back: bool = False
