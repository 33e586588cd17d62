"""Admits requests of one service and gives each an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..refusals import refuse_not_run

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..routing import AttemptOutcome, RequestContext, ServiceRouter, UpstreamState


class ServiceGate:
    """Admits requests of one service and gives each an upstream.

    Every upstream that ``acquire`` returns must be given back with ``release``.
    """

    def __init__(self, service: str, router: ServiceRouter) -> None:
        self.router = router
        self._service = service

    async def acquire(
        self, context: RequestContext, excluded: Collection[str] = ()
    ) -> UpstreamState:
        """Returns an upstream for an attempt; ``excluded`` holds upstream ids.

        Raises ``RefusedError`` (not run) when the request cannot be answered in time.
        """
        upstream = self.router.choose(excluded)
        if upstream is None:
            title = f"Service {self._service!r} has no live upstream"
            raise refuse_not_run(503, "no-upstream", title)
        upstream.in_flight += 1
        return upstream

    def release(self, upstream: UpstreamState, outcome: AttemptOutcome) -> None:
        """Gives an upstream back with what the attempt showed."""
        upstream.in_flight -= 1
        if outcome.load is not None:
            upstream.reported_in_flight = outcome.load.in_flight
