"""A service recovers after the trouble that made its requests slow or fail."""

from __future__ import annotations

import asyncio
import random

import pytest

from measure.virtual_loop import run_in_virtual_time
from verbenacross.balancing.exceptions import BalancingError
from verbenacross.balancing.outcome import Failed, Succeeded
from verbenacross.balancing.service_balancer import ServiceBalancer

from .builders import build_upstream
from .test_choice import FakeProber, build_context

USUAL_S = 0.076
# Requests have this much time once the trouble is over.
SHORT_DEADLINE_S = 0.3
TROUBLE_S = 6.5
RECOVERY_S = 5.0
INTERVAL_S = 0.1


class Service:
    """Upstreams whose service time a test sets, and callers that come regularly."""

    def __init__(self, service_time_s: float) -> None:
        self.service_time_s = service_time_s
        self.sent: list[float] = []
        self._loop = asyncio.get_running_loop()
        self.balancer = ServiceBalancer(
            "service-a", "node-1", "a", FakeProber(), random.Random(1), self._loop.time
        )
        for number in range(3):
            self.balancer.set_upstream(build_upstream(f"u{number}"))
        self.balancer.set_probe_rate(60.0, instances=1)

    async def call(self, deadline_s: float) -> bool:
        """Sends a request; returns whether it is answered before its deadline."""
        context = build_context(min(0.25, deadline_s), deadline_s)
        try:
            tracked = await self.balancer.acquire(context)
        except BalancingError:
            return False
        begun = self._loop.time()
        self.sent.append(begun)
        left_s = context.deadline - begun
        await asyncio.sleep(min(self.service_time_s, left_s))
        if self.service_time_s > left_s:
            self.balancer.release(tracked, context, Failed("no response"))
            return False
        latency_s = self._loop.time() - begun
        self.balancer.release(tracked, context, Succeeded(latency_s, None))
        return True

    async def call_for(self, duration_s: float, deadline_s: float) -> list[bool]:
        """Calls at a steady rate; returns which requests were served."""
        calls = []
        for _ in range(int(duration_s / INTERVAL_S)):
            calls.append(asyncio.create_task(self.call(deadline_s)))
            await asyncio.sleep(INTERVAL_S)
        return await asyncio.gather(*calls)


@pytest.mark.parametrize("slow_factor", [5.0, 8.0])
def test_service_is_used_again_after_it_was_slow_and_requests_have_less_time(
    slow_factor,
):
    """Guards against a route that is refused for good.

    Its upstreams were slow, then its time-out is shortened below what was learned.
    """

    async def scenario():
        service = Service(USUAL_S)
        await service.call_for(2.0, 0.8)
        service.service_time_s = USUAL_S * slow_factor
        await service.call_for(TROUBLE_S, 0.8)
        service.service_time_s = USUAL_S
        await service.call_for(RECOVERY_S, SHORT_DEADLINE_S)
        return await service.call_for(5.0, SHORT_DEADLINE_S)

    assert all(run_in_virtual_time(scenario()))


def test_service_that_stays_too_slow_gets_few_requests():
    """Requests that cannot be served are refused at once, but for a few trials."""

    async def scenario():
        service = Service(USUAL_S * 5)
        await service.call_for(5.0, 0.8)
        service.sent.clear()
        await service.call_for(10.0, SHORT_DEADLINE_S)
        return service.sent

    sent = run_in_virtual_time(scenario())
    # At most one a second.
    assert 2 <= len(sent) <= 11
