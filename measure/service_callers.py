"""Callers of a modelled service, through instances that choose independently."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple, Protocol

from verbenacross.balancing.balancing_context import BalancingContext
from verbenacross.balancing.exceptions import BalancingError
from verbenacross.balancing.outcome import Abandoned, Failed, NotRun, Succeeded
from verbenacross.balancing.prober import ProbeResult
from verbenacross.balancing.service_balancer import ServiceBalancer
from verbenacross.balancing.upstream_notice import NO_NOTICE

from .service_model import ModelFailedError, ModelRejectedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenacross.balancing.outcome import Outcome
    from verbenacross.balancing.tracked_upstream import TrackedUpstream
    from verbenacross.balancing.upstream import Upstream

    from .service_model import ServiceModel

PROBE_TIMEOUT_S = 0.12
# Callers use a time-out slightly below the deadline of their kind of request.
TIMEOUT_SHARE = (0.87, 1.0)
# A caller waits for Retry-After up to this share of its remaining time.
RETRY_DELAY_SHARE = 1 / 3


@dataclass(frozen=True)
class CallProfile:
    """Requests of one kind; times are in seconds.

    A refused caller retries up to ``retries`` times, on a randomly chosen instance.
    """

    service_time_s: float
    target_s: float
    deadline_s: float
    long_share: float = 0.03
    long_factor: float = 7.0
    priority: int = 1
    retries: int = 0


@dataclass
class CallStatistics:
    """Results of the requests, with latencies and refusal times in seconds."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    latencies: list[float] = field(default_factory=list)
    refused_after: list[float] = field(default_factory=list)

    @property
    def total(self) -> int:
        """Number of requests, whatever their result."""
        return self.in_time + self.late + self.refused + self.failed

    @property
    def in_time_share(self) -> float:
        """Share of requests completed within their target latency."""
        return self.in_time / max(1, self.total)

    def get_quantile(self, share: float) -> float:
        """Returns a latency quantile of the successful requests, in seconds."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Chooser(Protocol):
    """Assigns upstreams to requests, as ``ServiceBalancer`` does."""

    async def acquire(self, context: BalancingContext) -> TrackedUpstream:
        """Returns an upstream for an attempt; raises ``BalancingError``."""

    def release(
        self, tracked: TrackedUpstream, context: BalancingContext, outcome: Outcome
    ) -> None:
        """Records the outcome of an attempt and releases its upstream."""


class ModelProber:
    """Probes modelled upstreams; implements ``Prober``."""

    def __init__(self, model: ServiceModel, *, hears_notices: bool = True) -> None:
        self._model = model
        self._hears_notices = hears_notices
        self.sent = 0

    async def probe(self, upstream: Upstream) -> ProbeResult | None:
        """Returns the load after a round trip, ``None`` after a time-out."""
        self.sent += 1
        await asyncio.sleep(self._model.profile.one_way_s)
        target = self._model.upstreams.get(upstream.id)
        if target is None or target.is_silent:
            await asyncio.sleep(PROBE_TIMEOUT_S)
            return None
        report = target.report()
        notice = target.get_notice() if self._hears_notices else NO_NOTICE
        await asyncio.sleep(self._model.profile.one_way_s)
        return ProbeResult(report, is_healthy=True, notice=notice)


def build_balancer(
    model: ServiceModel,
    instances: int,
    seed: int,
    probes_per_s: float = 60.0,
    *,
    hears_notices: bool = True,
    failure_domain: str = "a",
) -> ServiceBalancer:
    """Returns the balancer of one of ``instances`` instances."""
    clock = asyncio.get_running_loop().time
    prober = ModelProber(model, hears_notices=hears_notices)
    balancer = ServiceBalancer(
        "model", f"i{seed}", failure_domain, prober, random.Random(seed), clock
    )
    for target in model.upstreams.values():
        balancer.set_upstream(target.upstream)
    balancer.set_probe_rate(probes_per_s, instances)
    return balancer


class Arrival(NamedTuple):
    """A request that arrived at an upstream from one of the choosers."""

    at: float
    chooser: int
    upstream: str


class Callers:
    """Open-loop callers of a modelled service.

    ``arrivals`` lists the requests that arrived at upstreams. Unless ``hears_notices``
    is set, choosers do not learn what upstreams state about themselves.
    """

    def __init__(
        self,
        model: ServiceModel,
        choosers: list[Chooser],
        seed: int,
        *,
        hears_notices: bool = False,
    ) -> None:
        self.arrivals: list[Arrival] = []
        self._hears_notices = hears_notices
        self._model = model
        self._choosers = choosers
        self._generator = random.Random(seed)
        # The load balancer in front of the instances hashes callers, so that their
        # shares of the requests are uneven.
        self._shares = [self._generator.uniform(0.3, 1.7) for _ in choosers]
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(
        self,
        call: CallProfile,
        rate: Callable[[float], float],
        length_s: float,
        statistics: CallStatistics,
    ) -> None:
        """Sends requests for ``length_s`` and waits until all have ended.

        ``rate`` maps the seconds since the start to requests per second.
        """
        end = self._loop.time() + length_s
        started = self._loop.time()
        while self._loop.time() < end:
            current_rate = rate(self._loop.time() - started)
            await asyncio.sleep(self._generator.expovariate(current_rate))
            chooser = self._generator.choices(self._choosers, self._shares)[0]
            task = asyncio.create_task(self._call(call, chooser, statistics))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _call(
        self, call: CallProfile, chooser: Chooser, statistics: CallStatistics
    ) -> None:
        now = self._loop.time()
        is_long = self._generator.random() < call.long_share
        service_time_s = call.service_time_s * self._generator.lognormvariate(0, 0.3)
        service_time_s *= call.long_factor if is_long else 1.0
        timeout_s = call.deadline_s * self._generator.uniform(*TIMEOUT_SHARE)
        try:
            async with asyncio.timeout_at(now + timeout_s):
                succeeded = await self._call_with_retries(
                    call, chooser, service_time_s, now + timeout_s
                )
        except BalancingError:
            statistics.refused += 1
            statistics.refused_after.append(self._loop.time() - now)
            return
        except TimeoutError:
            succeeded = False
        latency_s = self._loop.time() - now
        if not succeeded:
            statistics.failed += 1
            return
        statistics.latencies.append(latency_s)
        if latency_s <= call.target_s:
            statistics.in_time += 1
        else:
            statistics.late += 1

    async def _call_with_retries(
        self,
        call: CallProfile,
        chooser: Chooser,
        service_time_s: float,
        deadline: float,
    ) -> bool:
        """Sends one request with its retries; raises ``BalancingError``."""
        for retries_left in range(call.retries, -1, -1):
            context = self._build_context(call, deadline)
            try:
                return await self._attempt(context, chooser, service_time_s)
            except BalancingError as error:
                remaining_s = deadline - self._loop.time()
                if (
                    not retries_left
                    or error.retry_after_s > remaining_s * RETRY_DELAY_SHARE
                ):
                    raise
                await asyncio.sleep(error.retry_after_s)
                chooser = self._generator.choice(self._choosers)
        raise AssertionError("unreachable")

    def _build_context(self, call: CallProfile, deadline: float) -> BalancingContext:
        now = self._loop.time()
        return BalancingContext(
            request_id="",
            request_kind=f"work-{call.service_time_s}",
            priority=call.priority,
            arrived_at=now,
            target_at=now + call.target_s,
            deadline=deadline,
        )

    async def _attempt(
        self, context: BalancingContext, chooser: Chooser, service_time_s: float
    ) -> bool:
        tracked = await chooser.acquire(context)
        started = self._loop.time()
        outcome: Outcome = Abandoned()
        try:
            await asyncio.sleep(self._model.profile.one_way_s)
            target = self._model.upstreams[tracked.upstream.id]
            self._record_arrival(chooser, tracked)
            report = await target.serve(service_time_s)
            await asyncio.sleep(self._model.profile.one_way_s)
            outcome = Succeeded(self._loop.time() - started, report)
            return True
        except ModelFailedError:
            outcome = Failed("modelled failure")
            return False
        except ModelRejectedError:
            outcome = NotRun(None)
            return False
        finally:
            if self._hears_notices and isinstance(chooser, ServiceBalancer):
                notice = self._model.upstreams[tracked.upstream.id].get_notice()
                chooser.apply_notice(tracked, notice)
            chooser.release(tracked, context, outcome)

    def _record_arrival(self, chooser: Chooser, tracked: TrackedUpstream) -> None:
        self.arrivals.append(
            Arrival(
                self._loop.time(), self._choosers.index(chooser), tracked.upstream.id
            )
        )
