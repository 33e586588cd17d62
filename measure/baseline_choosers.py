"""Baseline load-balancing algorithms that the balancer is compared with."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from verbenacross.balancing.outcome import Succeeded
from verbenacross.balancing.tracked_upstream import TrackedUpstream

if TYPE_CHECKING:
    from verbenacross.balancing.balancing_context import BalancingContext
    from verbenacross.balancing.outcome import Outcome

    from .service_model import ServiceModel


class TwoChoicesInFlight:
    """Power of two choices by this instance's requests in flight."""

    def __init__(self, model: ServiceModel, seed: int) -> None:
        now = asyncio.get_running_loop().time()
        self._upstreams = [
            TrackedUpstream(target.upstream, now) for target in model.upstreams.values()
        ]
        self._generator = random.Random(seed)

    async def acquire(self, context: BalancingContext) -> TrackedUpstream:
        """Returns an upstream."""
        pair = self._generator.sample(self._upstreams, 2)
        tracked = min(pair, key=self.get_load)
        tracked.in_flight += 1
        return tracked

    def release(
        self, tracked: TrackedUpstream, context: BalancingContext, outcome: Outcome
    ) -> None:
        """Records the outcome of an attempt and releases its upstream."""
        tracked.in_flight -= 1
        if isinstance(outcome, Succeeded):
            tracked.report = outcome.report

    @staticmethod
    def get_load(tracked: TrackedUpstream) -> float:
        """Returns the load by which two upstreams are compared."""
        return tracked.in_flight


class TwoChoicesReportedLoad(TwoChoicesInFlight):
    """Power of two choices by requests in flight plus load reported in responses."""

    @staticmethod
    def get_load(tracked: TrackedUpstream) -> float:
        """Returns the load by which two upstreams are compared."""
        report = tracked.report
        reported = 0 if report is None else report.running + report.waiting
        return tracked.in_flight + reported


class CentralQueue:
    """One queue in front of all upstreams that knows their current state.

    It prefers upstreams at their usual pace and holds requests until a slot is free. No
    real balancer can do that, as load reports take time to arrive.
    """

    def __init__(self, model: ServiceModel) -> None:
        now = asyncio.get_running_loop().time()
        self._model = model
        self._upstreams = {
            identifier: TrackedUpstream(target.upstream, now)
            for identifier, target in model.upstreams.items()
        }
        self._changed = asyncio.Condition()

    async def acquire(self, context: BalancingContext) -> TrackedUpstream:
        """Returns an upstream with a free slot."""
        while True:
            free = [
                identifier
                for identifier, target in self._model.upstreams.items()
                if self._upstreams[identifier].in_flight < target.profile.slots
            ]
            if free:
                best = min(free, key=self._get_preference)
                self._upstreams[best].in_flight += 1
                return self._upstreams[best]
            async with self._changed:
                await self._changed.wait()

    def release(
        self, tracked: TrackedUpstream, context: BalancingContext, outcome: Outcome
    ) -> None:
        """Records the outcome of an attempt and releases its upstream."""
        tracked.in_flight -= 1
        asyncio.get_running_loop().create_task(self._notify_waiter())

    async def _notify_waiter(self) -> None:
        async with self._changed:
            self._changed.notify()

    def _get_preference(self, identifier: str) -> tuple[float, int]:
        slowness = self._model.upstreams[identifier].get_slowness()
        return slowness, self._upstreams[identifier].in_flight
