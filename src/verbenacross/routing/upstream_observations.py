"""Observations of upstreams that other instances share with the router."""

from __future__ import annotations

from typing import Protocol


class UpstreamObservations(Protocol):
    """Observations of upstreams by other instances, by upstream id."""

    def accepts_requests(self, upstream: str) -> bool:
        """Returns whether the upstream may get new requests: it is not draining."""

    def is_ejected(self, upstream: str) -> bool:
        """Returns whether another instance ejected the upstream."""

    def is_cold(self, upstream: str) -> bool:
        """Returns whether the upstream started recently."""


class NoObservations:
    """Default observations: every upstream accepts requests, none is cold or ejected.

    Used by a router that no other instance shares observations with.
    """

    def accepts_requests(self, upstream: str) -> bool:
        """Returns ``True``."""
        return True

    def is_ejected(self, upstream: str) -> bool:
        """Returns ``False``."""
        return False

    def is_cold(self, upstream: str) -> bool:
        """Returns ``False``."""
        return False
