"""Service that routes lead to."""

from __future__ import annotations

from typing import NamedTuple


class Service(NamedTuple):
    """A service and its limits.

    ``max_connections`` limits the connections to one upstream, over all callers.
    """

    name: str
    health_path: str
    max_connections: int
