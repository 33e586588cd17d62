"""Route from a host and path prefix to weighted services."""

from __future__ import annotations

from typing import NamedTuple


class WeightedService(NamedTuple):
    """A destination service and its weight among those of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """A route from a host and path prefix to weighted services.

    ``target_latency_s`` is the latency objective: a later response is less useful to
    the caller. ``timeout_s`` is the longest time that a caller waits for a response.
    ``max_attempts`` limits how many upstreams one request is sent to. Priority 0 is the
    most urgent. Requests on a public route need no API key.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    target_latency_s: float
    priority: int
    timeout_s: float
    max_attempts: int
    destinations: tuple[WeightedService, ...]
    is_public: bool = False

    @property
    def key(self) -> tuple[str, str]:
        """Host and prefix, which identify a route across configuration versions."""
        return self.host, self.prefix
