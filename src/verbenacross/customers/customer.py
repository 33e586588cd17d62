"""A customer of the deployment."""

from __future__ import annotations

from typing import NamedTuple


class Customer(NamedTuple):
    """A customer and its limits over all instances together.

    ``priority`` replaces that of the route, ``None`` keeps it. ``rate_per_s`` is in
    requests per second, ``burst`` in requests; a rate of 0 means no limit.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
