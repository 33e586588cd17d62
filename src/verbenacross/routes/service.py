"""Service that routes lead to."""

from __future__ import annotations

from typing import NamedTuple


class Service(NamedTuple):
    """A service and its limits.

    ``max_connections`` limits the connections to one upstream, over all callers.
    ``cold_rate`` limits the requests per second to an upstream that has just started,
    over all instances; 0 means no limit.
    """

    name: str
    health_path: str
    max_connections: int
    cold_rate: float = 0.0
