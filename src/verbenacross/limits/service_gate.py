"""Admits requests of one service and gives each an upstream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..refusals import refuse_not_run
from .every_upstream_but import EveryUpstreamBut

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..routing import AttemptOutcome, RequestContext, ServiceRouter, UpstreamState
    from ..upstreams import ObservationReporter
    from .permit_client import PermitClient


class ServiceGate:
    """Admits requests of one service and gives each an upstream.

    Every upstream that ``acquire`` returns must be given back with ``release`` in the
    same task.
    """

    def __init__(
        self,
        service: str,
        router: ServiceRouter,
        permits: PermitClient,
        reporter: ObservationReporter,
    ) -> None:
        self.router = router
        self._service = service
        self._permits = permits
        self._reporter = reporter
        self._contexts: dict[tuple[object, str], RequestContext] = {}

    async def acquire(
        self, context: RequestContext, excluded: Collection[str] = ()
    ) -> UpstreamState:
        """Returns an upstream for an attempt; ``excluded`` holds upstream ids.

        Raises ``RefusedError`` (not run) when the request cannot be answered in time.
        """
        if context.request_class.size == "long":
            upstream = await self._acquire_long(context, excluded)
        else:
            upstream = self._choose(excluded)
            self._permits.note_short(context, upstream.instance.id)
        self._contexts[asyncio.current_task(), upstream.instance.id] = context
        upstream.in_flight += 1
        return upstream

    def release(self, upstream: UpstreamState, outcome: AttemptOutcome) -> None:
        """Gives an upstream back with what the attempt showed."""
        upstream.in_flight -= 1
        identifier = upstream.instance.id
        context = self._contexts.pop((asyncio.current_task(), identifier), None)
        cold_start_ms = 0
        if context is not None:
            self._permits.release(context, identifier)
            cold_start_ms = context.policy.upstreams.cold_start_ms
        self._reporter.note_state(identifier, outcome.announced_state, cold_start_ms)
        if outcome.load is not None:
            upstream.reported_in_flight = outcome.load.in_flight

    def _choose(self, excluded: Collection[str]) -> UpstreamState:
        closed = {*excluded, *self._reporter.table.find_draining()}
        upstream = self.router.choose(closed)
        if upstream is None:
            title = f"Service {self._service!r} has no live upstream"
            raise refuse_not_run(503, "no-upstream", title)
        return upstream

    async def _acquire_long(
        self, context: RequestContext, excluded: Collection[str]
    ) -> UpstreamState:
        """Returns the upstream of a permit; skips those this entry may not use."""
        unusable = set(excluded)
        while True:
            identifier = await self._permits.acquire(context, unusable)
            upstream = self.router.choose(EveryUpstreamBut(identifier))
            if upstream is not None and self._reporter.table.accepts_work(identifier):
                return upstream
            self._permits.release(context, identifier)
            unusable.add(identifier)
