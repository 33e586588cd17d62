"""What the router needs to know of upstreams from other instances."""

from __future__ import annotations

from typing import Protocol


class UpstreamKnowledge(Protocol):
    """What other instances saw of upstreams, by upstream id."""

    def accepts_requests(self, upstream: str) -> bool:
        """Returns whether the upstream may get new work: it is not draining."""

    def is_ejected(self, upstream: str) -> bool:
        """Returns whether another instance ejected the upstream."""

    def is_cold(self, upstream: str) -> bool:
        """Returns whether the upstream started recently."""


class NoKnowledge:
    """Knows nothing of any upstream."""

    def accepts_requests(self, upstream: str) -> bool:
        """Returns ``True``."""
        return True

    def is_ejected(self, upstream: str) -> bool:
        """Returns ``False``."""
        return False

    def is_cold(self, upstream: str) -> bool:
        """Returns ``False``."""
        return False
