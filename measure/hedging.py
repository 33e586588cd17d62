"""Model of second attempts: latencies with and without them, on virtual time.

``python -m measure.hedging FAULT...`` prints the table of docs/design/hedging.md.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import sys
from typing import TYPE_CHECKING, Any, Literal, NamedTuple, cast

from verbenacross.balancing.outcome import Abandoned, Failed, NotRun, Succeeded
from verbenacross.balancing.service_balancer import ServiceBalancer
from verbenacross.balancing.windowed_retry_budget import WindowedRetryBudget
from verbenacross.hedging.attempt_race import AttemptRace
from verbenacross.hedging.hedge_policy import HedgePolicy

from .service_callers import Callers, CallProfile, CallStatistics, build_balancer
from .service_model import (
    ModelFailedError,
    ModelRejectedError,
    ServiceModel,
    ServiceProfile,
)
from .virtual_loop import run_in_virtual_time

if TYPE_CHECKING:
    from verbenacross.balancing.balancing_context import BalancingContext
    from verbenacross.balancing.outcome import Outcome
    from verbenacross.balancing.tracked_upstream import TrackedUpstream

    from .service_callers import Chooser

Fault = Literal["none", "slow", "silent", "stalled", "all-slow"]

UPSTREAMS = 10
EFFICIENT_SLOTS = 4
LONG_SHARE, LONG_FACTOR = 0.003, 7.0
CALL = CallProfile(0.076, 0.25, 0.8, LONG_SHARE, LONG_FACTOR)
# A few requests take 7 times as long; the others are log-normal with sigma 0.3.
MEAN_SERVICE_TIME_S = 0.076 * 1.046 * (1 + LONG_SHARE * (LONG_FACTOR - 1))
CAPACITY = UPSTREAMS * EFFICIENT_SLOTS / MEAN_SERVICE_TIME_S
# Requests count from the beginning of the fault.
FAULT_AT_S = 10.0
LENGTH_S = 25.0
# An instance with a request a second would need longer to know the latencies.
KNOWN_LATENCIES = 50
KIND = f"work-{CALL.service_time_s}"
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 56.0, 10.0


class Conditions(NamedTuple):
    """One run of the model; ``load`` is the share of the capacity."""

    fault: Fault
    load: float
    instances: int
    ratio: float
    seed: int = 1


class HedgingResult(NamedTuple):
    """The requests that arrived during the fault, and their second attempts."""

    statistics: CallStatistics
    sent: int
    won: int
    over_budget: int
    unsuitable: int

    def get_quantile(self, share: float) -> float:
        """Returns a latency quantile of the requests that were not refused.

        One that failed counts as one that took until the deadline.
        """
        failed = [CALL.deadline_s] * self.statistics.failed
        ordered = sorted(self.statistics.latencies + failed)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class ModelContender:
    """One attempt at a modelled upstream; implements ``Contender``."""

    def __init__(
        self,
        callers: HedgedCallers,
        chooser: ServiceBalancer,
        context: BalancingContext,
        service_time_s: float,
        tracked: TrackedUpstream | None,
        policy: HedgePolicy,
    ) -> None:
        self.tracked = tracked
        self.started_at = asyncio.get_running_loop().time()
        self._callers = callers
        self._chooser = chooser
        self._context = context
        self._service_time_s = service_time_s
        self._policy = policy
        self._outcome: Outcome = Abandoned()

    def is_sent(self) -> bool:
        """Returns whether the attempt has an upstream."""
        return self.tracked is not None

    def has_response_head(self) -> bool:
        """Returns false: modelled responses arrive at once."""
        return False

    async def run(self) -> bool | None:
        """Runs the attempt; returns whether it succeeded."""
        if self.tracked is None and not await self._acquire():
            return None
        assert self.tracked is not None
        loop = asyncio.get_running_loop()
        self.started_at = loop.time()
        try:
            report = await self._callers.serve(self.tracked, self._service_time_s)
            self._outcome = Succeeded(loop.time() - self.started_at, report)
            return True
        except ModelFailedError:
            self._outcome = Failed("modelled failure")
            return False
        except ModelRejectedError:
            self._outcome = NotRun(None)
            return False
        finally:
            self._chooser.release(self.tracked, self._context, self._outcome)

    def lose(self) -> None:
        """Counts a silent attempt as a failed one, as ``ProxiedRequest`` does."""
        now = asyncio.get_running_loop().time()
        assert self.tracked is not None
        report = self.tracked.report
        kind, waited_s = self._context.request_kind, now - self.started_at
        slowness = report.slowness if report is not None else 1.0
        if self._policy.is_silent(kind, waited_s, slowness, now):
            self._outcome = Failed("silent")

    def discard(self, result: bool) -> None:
        """Does nothing: the attempt has released its upstream."""

    async def _acquire(self) -> bool:
        """Obtains an upstream within the limits, as ``ProxiedRequest`` does."""
        policy, chooser = self._policy, self._chooser
        retries = self._callers.retries[chooser]
        now = asyncio.get_running_loop().time()
        if chooser.is_overloaded():
            policy.counts.unsuitable += 1
            return False
        if not policy.try_spend(now):
            policy.counts.over_budget += 1
            return False
        if not retries.try_spend(now, len(self._callers.retries)):
            policy.refund()
            policy.counts.over_budget += 1
            return False
        tracked = None
        try:
            tracked = await chooser.try_acquire(self._context)
        finally:
            if tracked is None:
                policy.refund()
                retries.refund()
        if tracked is None:
            policy.counts.unsuitable += 1
            return False
        self.tracked = tracked
        policy.counts.sent += 1
        return True


class HedgedCallers(Callers):
    """Callers whose instances send second attempts.

    Upstreams in ``stalled`` answer probes but no requests. Those in
    ``hidden_slowdowns`` take longer by that factor and report their usual pace.
    """

    def __init__(
        self, model: ServiceModel, choosers: list[Chooser], ratio: float, seed: int
    ) -> None:
        super().__init__(model, choosers, seed)
        self.stalled: set[str] = set()
        self.hidden_slowdowns: dict[str, float] = {}
        self.policies = {
            chooser: HedgePolicy(ratio, random.Random(seed * 1_000 + number))
            for number, chooser in enumerate(choosers)
        }
        generator = random.Random(seed)
        for policy in self.policies.values():
            for _ in range(KNOWN_LATENCIES):
                latency_s = CALL.service_time_s * generator.lognormvariate(0, 0.3)
                policy.record_latency(KIND, latency_s, self._loop.time())
        self.retries = {
            chooser: WindowedRetryBudget(RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S)
            for chooser in choosers
        }

    async def serve(self, tracked: TrackedUpstream, service_time_s: float) -> Any:
        """Runs a request at an upstream and returns its load report."""
        await asyncio.sleep(self._model.profile.one_way_s)
        if tracked.upstream.id in self.stalled:
            await asyncio.Event().wait()
        target = self._model.upstreams[tracked.upstream.id]
        slowdown = self.hidden_slowdowns.get(tracked.upstream.id, 1.0)
        report = await target.serve(service_time_s * slowdown)
        await asyncio.sleep(self._model.profile.one_way_s)
        return report

    async def _attempt(
        self, context: BalancingContext, chooser: Chooser, service_time_s: float
    ) -> bool:
        assert isinstance(chooser, ServiceBalancer)
        policy = self.policies[chooser]
        self.retries[chooser].record_request(self._loop.time())
        tracked = await chooser.acquire(context)
        now = self._loop.time()
        first = ModelContender(self, chooser, context, service_time_s, tracked, policy)
        if not policy.is_enabled:
            return bool(await first.run())
        policy.record_request(now)
        kind = context.request_kind
        hedge_at = policy.find_hedge_time(
            kind, now, context.target_at, context.deadline
        )
        excluded = context.excluded | {tracked.upstream.id}
        second_context = dataclasses.replace(context, excluded=excluded)
        second = ModelContender(
            self, chooser, second_context, service_time_s, None, policy
        )
        race: AttemptRace[ModelContender, bool] = AttemptRace(first, second, bool)
        delay_s = context.deadline - now if hedge_at is None else hedge_at - now
        try:
            finished = await race.run(delay_s)
        except asyncio.CancelledError:
            # The caller's time-out, which is the deadline of the request.
            policy.record_latency(kind, self._loop.time() - now, self._loop.time())
            raise
        winner, has_succeeded = finished[-1]
        if has_succeeded:
            policy.record_latency(kind, self._loop.time() - now, self._loop.time())
            policy.counts.won += winner is second
        return has_succeeded


def run_model(conditions: Conditions) -> HedgingResult:
    """Runs the model and returns what became of the requests during the fault."""
    return run_in_virtual_time(simulate(conditions))


async def simulate(conditions: Conditions) -> HedgingResult:
    """Runs the model on the running event loop."""
    fault, load, instances, ratio, seed = conditions
    model = ServiceModel(ServiceProfile(UPSTREAMS, noisy_share=0.0), seed)
    choosers: list[Chooser] = [
        build_balancer(model, instances, seed * 1_000 + number)
        for number in range(instances)
    ]
    callers = HedgedCallers(model, choosers, ratio, seed)

    def rate(_: float) -> float:
        return load * CAPACITY

    await callers.run(CALL, rate, FAULT_AT_S, CallStatistics())
    for policy in callers.policies.values():
        policy.counts = type(policy.counts)()
    start_fault(fault, model, callers)
    statistics = CallStatistics()
    await callers.run(CALL, rate, LENGTH_S - FAULT_AT_S, statistics)
    counts = [policy.counts for policy in callers.policies.values()]
    for chooser in choosers:
        assert isinstance(chooser, ServiceBalancer)
        chooser.close()
    return HedgingResult(
        statistics,
        sum(count.sent for count in counts),
        sum(count.won for count in counts),
        sum(count.over_budget for count in counts),
        sum(count.unsuitable for count in counts),
    )


def start_fault(fault: Fault, model: ServiceModel, callers: HedgedCallers) -> None:
    """Starts a fault of one upstream, or of all."""
    upstreams = list(model.upstreams.values())
    match fault:
        case "none":
            pass
        case "slow":
            for upstream in upstreams[:2]:
                callers.hidden_slowdowns[upstream.upstream.id] = 5.0
        case "silent":
            upstreams[0].is_silent = True
        case "stalled":
            callers.stalled.add(upstreams[0].upstream.id)
        case "all-slow":
            for upstream in upstreams:
                upstream.slowdown = 3.0


def format_row(conditions: Conditions, result: HedgingResult) -> str:
    """Returns a row of the table."""
    statistics = result.statistics
    quantiles = [f"{result.get_quantile(q) * 1000:.0f}" for q in (0.5, 0.95, 0.99)]
    total = max(1, statistics.total)
    cells = [
        conditions.fault,
        f"{conditions.load:g}",
        str(conditions.instances),
        f"{conditions.ratio:g}",
        *quantiles,
        f"{statistics.in_time_share:.3f}",
        f"{statistics.failed / total:.4f}",
        f"{statistics.refused / total:.4f}",
        f"{result.sent / total:.4f}",
        str(result.won),
    ]
    return "| " + " | ".join(cells) + " |"


def main() -> None:
    """Prints the rows of the faults in the arguments."""
    for fault in cast("list[Fault]", sys.argv[1:]):
        for instances in (13, 119):
            for load in (0.3, 0.6, 0.9, 1.1):
                for ratio in (0.0, 0.1):
                    conditions = Conditions(fault, load, instances, ratio)
                    print(format_row(conditions, run_model(conditions)), flush=True)


if __name__ == "__main__":
    main()
