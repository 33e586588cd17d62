"""A route from a host and path prefix to services."""

from __future__ import annotations

from typing import NamedTuple


class WeightedService(NamedTuple):
    """A destination and its part of the route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """A route from a host and path prefix to services.

    ``target_latency_s`` is the latency objective: a later response is less useful to
    the caller. ``timeout_s`` is the longest time that a caller waits for a response.
    ``max_attempts`` limits how many upstreams one request is sent to. Priority 0 is the
    most urgent.
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

    @property
    def key(self) -> tuple[str, str]:
        """What identifies a route across versions."""
        return self.host, self.prefix
