"""A service and its limits."""

from __future__ import annotations

from typing import NamedTuple


class Service(NamedTuple):
    """A service; ``max_connections`` holds for one upstream and all callers."""

    name: str
    health_path: str
    max_connections: int
