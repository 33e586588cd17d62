"""Admission control for the requests of one service."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any

from ..refusals import RequestProblemError, build_not_run_error
from .request_queue import QueuedRequest, RequestQueue

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..routing import AttemptOutcome, RequestContext, ServiceRouter, UpstreamState
    from ..upstreams import ObservationReporter
    from .permit_client import PermitClient

# Load reports age and ejections expire without an event, so queued requests are
# reconsidered at this interval.
RECHECK_INTERVAL_S = 0.02
# A retry whose remaining upstreams are full must not block the requests behind it.
MAX_SKIPPED_REQUESTS = 8
# Half of all requests take longer than the median latency. A request with less than
# this multiple of it left would often use a slot and still miss its deadline.
LATENCY_MARGIN_FACTOR = 3.0


class AdmissionController:
    """Admits requests of one service and assigns each an upstream.

    Every upstream that ``acquire`` returns must be passed to ``release``. While no
    upstream has capacity, requests are queued in the entry, ordered by priority and
    then by deadline. A request is refused as soon as it cannot complete before its
    deadline. Long requests wait for a permit instead.
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
        self._recheck_timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    def describe(self) -> dict[str, Any]:
        """Returns the queue length, counters and upstreams as a JSON object."""
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

        Raises ``RequestProblemError`` (not run) when the request cannot complete in
        time.
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
        """Releases the upstream of an attempt and records the attempt's outcome."""
        upstream_id = upstream.instance.id
        self._permits.release(context, upstream_id)
        self.router.finish_attempt(upstream, outcome, context.policy)
        cold_start_ms = context.policy.upstreams.cold_start_ms
        self._reporter.report_state(upstream_id, outcome.announced_state, cold_start_ms)
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
        if not self.router.has_available_upstream(excluded):
            title = f"Service {self._service!r} has no live upstream"
            raise build_not_run_error(503, "no-upstream", title)
        return await self._wait_in_queue(context, excluded)

    async def _acquire_long(
        self, context: RequestContext, excluded: Collection[str]
    ) -> UpstreamState:
        """Returns the upstream of a permit; skips those this entry may not use."""
        unusable = set(excluded)
        while True:
            upstream_id = await self._permits.acquire(context, unusable)
            upstream = self.router.find_available(upstream_id)
            if upstream is not None:
                self.router.start_attempt(upstream, context)
                return upstream
            self._permits.release(context, upstream_id)
            unusable.add(upstream_id)

    def get_median_latency_s(self, context: RequestContext) -> float:
        """Returns the median latency of the request's class, in seconds."""
        return self.router.latencies.get_median_latency_s(context.request_class.name)

    def dispatch(self) -> None:
        """Assigns upstreams to queued requests; refuses those that would be late."""
        skipped = 0
        while skipped < min(len(self._queue), MAX_SKIPPED_REQUESTS):
            request = self._queue.get_first(skipped + 1)[-1]
            if self._try_complete(request):
                continue
            if not request.excluded:
                break
            skipped += 1
        if self._queue and self._recheck_timer is None:
            loop = asyncio.get_running_loop()
            self._recheck_timer = loop.call_later(
                RECHECK_INTERVAL_S, self._recheck_queue
            )

    def _try_complete(self, request: QueuedRequest) -> bool:
        """Assigns an upstream to a queued request or refuses it.

        Returns whether the request left the queue.
        """
        context = request.context
        if request.granted.done():
            self._queue.remove(request)
            return True
        if self._would_miss_deadline(context, 0.0):
            self._refuse(request, self._build_deadline_error(0.0))
            return True
        upstream = self.router.choose(context, request.excluded)
        if upstream is not None:
            self._queue.remove(request)
            self.router.start_attempt(upstream, context)
            request.granted.set_result(upstream)
            return True
        if not self.router.has_available_upstream(request.excluded):
            title = f"Service {self._service!r} has no live upstream"
            self._refuse(request, build_not_run_error(503, "no-upstream", title))
            return True
        return False

    async def _wait_in_queue(
        self, context: RequestContext, excluded: Collection[str]
    ) -> UpstreamState:
        key = self._queue.build_key(context)
        wait_s = self._predict_wait_s(self._queue.count_ahead(key))
        if self._would_miss_deadline(context, wait_s):
            raise self._build_deadline_error(wait_s)
        granted: asyncio.Future[UpstreamState]
        granted = asyncio.get_running_loop().create_future()
        request = QueuedRequest(key, context, excluded, granted)
        self._queue.add(request)
        self._shed_overflow(context.policy.limits.queue_size)
        self.dispatch()
        try:
            return await granted
        except asyncio.CancelledError:
            self._cancel_wait(request)
            raise

    def _cancel_wait(self, request: QueuedRequest) -> None:
        """Removes a request whose caller disconnected and frees a granted upstream."""
        self._queue.remove(request)
        granted = request.granted
        if granted.done() and not granted.cancelled() and not granted.exception():
            self.router.discard_attempt(granted.result())
            self.dispatch()

    def _shed_overflow(self, queue_size: int) -> None:
        """Refuses requests from the end of the queue while it exceeds its size."""
        while len(self._queue) > queue_size:
            wait_s = self._predict_wait_s(len(self._queue))
            title = f"Service {self._service!r} has too many waiting requests"
            self._refuse(
                self._queue.get_last(),
                build_not_run_error(503, "queue-full", title, round_up_s(wait_s)),
            )

    def _refuse(self, request: QueuedRequest, error: RequestProblemError) -> None:
        self._queue.remove(request)
        self.refused += 1
        request.granted.set_exception(error)

    def _build_deadline_error(self, wait_s: float) -> RequestProblemError:
        wait_s = wait_s or self._predict_wait_s(len(self._queue))
        title = f"Service {self._service!r} cannot answer before the deadline"
        return build_not_run_error(
            503, "deadline-unreachable", title, round_up_s(wait_s)
        )

    def _would_miss_deadline(self, context: RequestContext, wait_s: float) -> bool:
        """Returns whether a request dispatched after ``wait_s`` would be late."""
        median_s = self.get_median_latency_s(context)
        needed_s = wait_s + LATENCY_MARGIN_FACTOR * median_s
        return self.router.clock() + needed_s > context.deadline

    def _predict_wait_s(self, ahead: int) -> float:
        """Returns the time in the queue behind other requests, by Little's law."""
        in_flight = max(1, self.router.in_flight)
        return ahead * self.router.latencies.mean_s / in_flight

    def _recheck_queue(self) -> None:
        self._recheck_timer = None
        for request in tuple(self._queue):
            if not request.granted.done() and self._would_miss_deadline(
                request.context, 0.0
            ):
                self._refuse(request, self._build_deadline_error(0.0))
        self.dispatch()


def round_up_s(seconds: float) -> int:
    """Returns a time in whole seconds, rounded up and at least 1."""
    return max(1, math.ceil(seconds))
