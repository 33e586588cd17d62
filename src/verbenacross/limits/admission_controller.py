"""Admits requests of one service and gives each an upstream."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any

from ..refusals import RefusedError, refuse_not_run
from .request_queue import RequestQueue, Waiter

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..routing import AttemptOutcome, RequestContext, ServiceRouter, UpstreamState
    from ..upstreams import ObservationReporter
    from .permit_client import PermitClient

# Reports age and ejections end without an event, so waiting requests are looked at
# again after this time.
RECHECK_INTERVAL_S = 0.02
# A retry whose other upstreams are full must not hold up those behind it.
MAX_PASSED_OVER = 8
# Half of all requests take longer than the typical latency; one that has less than
# this multiple of it left would often use a slot and still be late.
LATENCY_MARGIN = 3.0


class AdmissionController:
    """Admits requests of one service and gives each an upstream.

    Every upstream that ``acquire`` returns must be given back with ``release``. A
    request waits in the entry while no upstream has room, in order of priority and then
    of deadline. It is refused as soon as it cannot be answered in time. Long work waits
    for a permit instead.
    """

    def __init__(
        self,
        service: str,
        router: ServiceRouter,
        permits: PermitClient,
        reporter: ObservationReporter,
    ) -> None:
        self.router = router
        self.refused = 0
        self._service = service
        self._permits = permits
        self._reporter = reporter
        self._queue = RequestQueue()
        self._recheck: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._queue)

    def describe(self) -> dict[str, Any]:
        """Returns the state of admission as a JSON object."""
        return {
            "waiting": self.waiting,
            "refused": self.refused,
            "in_flight": self.router.in_flight,
            "upstreams": self.router.describe(),
        }

    async def acquire(
        self, context: RequestContext, excluded: Collection[str] = ()
    ) -> UpstreamState:
        """Returns an upstream for an attempt; ``excluded`` holds upstream ids.

        Raises ``RefusedError`` (not run) when the request cannot be answered in time.
        """
        if context.request_class.size == "long":
            upstream = await self._acquire_long(context, excluded)
        else:
            upstream = await self._acquire_short(context, excluded)
            self._permits.track_short_request(context, upstream.instance.id)
        return upstream

    def release(
        self,
        context: RequestContext,
        upstream: UpstreamState,
        outcome: AttemptOutcome,
    ) -> None:
        """Gives an upstream back with what the attempt showed."""
        identifier = upstream.instance.id
        self._permits.release(context, identifier)
        self.router.finish_attempt(upstream, outcome, context.policy)
        cold_start_ms = context.policy.upstreams.cold_start_ms
        self._reporter.note_state(identifier, outcome.announced_state, cold_start_ms)
        if self._queue:
            self.dispatch()

    async def _acquire_short(
        self, context: RequestContext, excluded: Collection[str]
    ) -> UpstreamState:
        if not self._queue:
            upstream = self.router.choose(context, excluded)
            if upstream is not None:
                self.router.start_attempt(upstream, context)
                return upstream
        if not self.router.has_upstream(excluded):
            title = f"Service {self._service!r} has no live upstream"
            raise refuse_not_run(503, "no-upstream", title)
        return await self._wait(context, excluded)

    async def _acquire_long(
        self, context: RequestContext, excluded: Collection[str]
    ) -> UpstreamState:
        """Returns the upstream of a permit; skips those this entry may not use."""
        unusable = set(excluded)
        while True:
            identifier = await self._permits.acquire(context, unusable)
            upstream = self.router.find(identifier)
            if upstream is not None:
                self.router.start_attempt(upstream, context)
                return upstream
            self._permits.release(context, identifier)
            unusable.add(identifier)

    def get_median_latency_s(self, context: RequestContext) -> float:
        """Returns the typical latency of the request's class, in seconds."""
        return self.router.latencies.get_median_latency_s(context.request_class.name)

    def dispatch(self) -> None:
        """Gives upstreams with room to waiting requests; refuses late ones."""
        passed_over = 0
        while passed_over < min(len(self._queue), MAX_PASSED_OVER):
            waiter = self._queue.get_first(passed_over + 1)[-1]
            if self._serve(waiter):
                continue
            if not waiter.excluded:
                break
            passed_over += 1
        if self._queue and self._recheck is None:
            loop = asyncio.get_running_loop()
            self._recheck = loop.call_later(RECHECK_INTERVAL_S, self._look_again)

    def _serve(self, waiter: Waiter) -> bool:
        """Ends the wait of a request if it can; returns whether it did."""
        context = waiter.context
        if waiter.granted.done():
            self._queue.remove(waiter)
            return True
        if self._is_late(context, 0.0):
            self._end_wait(waiter, self._refuse_late(0.0))
            return True
        upstream = self.router.choose(context, waiter.excluded)
        if upstream is not None:
            self._queue.remove(waiter)
            self.router.start_attempt(upstream, context)
            waiter.granted.set_result(upstream)
            return True
        if not self.router.has_upstream(waiter.excluded):
            title = f"Service {self._service!r} has no live upstream"
            self._end_wait(waiter, refuse_not_run(503, "no-upstream", title))
            return True
        return False

    async def _wait(
        self, context: RequestContext, excluded: Collection[str]
    ) -> UpstreamState:
        order = self._queue.build_order(context)
        wait_s = self._predict_wait_s(self._queue.count_before(order))
        if self._is_late(context, wait_s):
            raise self._refuse_late(wait_s)
        granted: asyncio.Future[UpstreamState]
        granted = asyncio.get_running_loop().create_future()
        waiter = Waiter(order, context, excluded, granted)
        self._queue.add(waiter)
        self._shed_excess(context.policy.limits.queue_size)
        self.dispatch()
        try:
            return await granted
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise

    def _abandon(self, waiter: Waiter) -> None:
        """Undoes the wait of a request whose caller went away."""
        self._queue.remove(waiter)
        granted = waiter.granted
        if granted.done() and not granted.cancelled() and not granted.exception():
            self.router.discard_attempt(granted.result())
            self.dispatch()

    def _shed_excess(self, queue_size: int) -> None:
        """Refuses the requests that would be served last while the queue is full."""
        while len(self._queue) > queue_size:
            wait_s = self._predict_wait_s(len(self._queue))
            title = f"Service {self._service!r} has too many waiting requests"
            self._end_wait(
                self._queue.get_last(),
                refuse_not_run(503, "queue-full", title, round_up_s(wait_s)),
            )

    def _end_wait(self, waiter: Waiter, error: RefusedError) -> None:
        self._queue.remove(waiter)
        self.refused += 1
        waiter.granted.set_exception(error)

    def _refuse_late(self, wait_s: float) -> RefusedError:
        wait_s = wait_s or self._predict_wait_s(len(self._queue))
        title = f"Service {self._service!r} cannot answer before the deadline"
        return refuse_not_run(503, "deadline-unreachable", title, round_up_s(wait_s))

    def _is_late(self, context: RequestContext, wait_s: float) -> bool:
        """Returns whether a request that waits so long would miss its deadline."""
        typical_s = self.get_median_latency_s(context)
        needed_s = wait_s + LATENCY_MARGIN * typical_s
        return self.router.clock() + needed_s > context.deadline

    def _predict_wait_s(self, before: int) -> float:
        """Returns the wait behind others by Little's law."""
        in_flight = max(1, self.router.in_flight)
        return before * self.router.latencies.mean_s / in_flight

    def _look_again(self) -> None:
        self._recheck = None
        for waiter in tuple(self._queue):
            if not waiter.granted.done() and self._is_late(waiter.context, 0.0):
                self._end_wait(waiter, self._refuse_late(0.0))
        self.dispatch()


def round_up_s(seconds: float) -> int:
    """Returns whole seconds, at least one."""
    return max(1, math.ceil(seconds))
