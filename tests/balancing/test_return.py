"""Every upstream is used again once its trouble is over, whatever it was."""

from __future__ import annotations

import asyncio
import random
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from measure.virtual_loop import run_in_virtual_time
from verbenacross.balancing.exceptions import BalancingError
from verbenacross.balancing.load_report import LoadReport
from verbenacross.balancing.outcome import Failed, NotRun, Succeeded, Unreachable
from verbenacross.balancing.prober import ProbeResult
from verbenacross.balancing.service_balancer import ServiceBalancer
from verbenacross.balancing.upstream_notice import UpstreamNotice

from .builders import build_upstream
from .test_choice import IDLE, build_context

USUAL_S = 0.05
INTERVAL_S = 0.2
# Enough requests at once to need all upstreams.
BURST = 10
DEADLINE_S = 0.8
UPSTREAMS = ("u0", "u1", "u2")
TROUBLES = (
    "fails",
    "unreachable",
    "sheds",
    "silent-probes",
    "false-health",
    "wrong-id",
    "misdirects",
    "slow",
    "claims-load",
    "busy",
)
MAX_TROUBLE_S = 8.0
# The pause after a wrong id has doubled at most twice within the trouble.
RETURN_S = 25.0
OBSERVED_S = 2.0


class Trouble(NamedTuple):
    """What is wrong with an upstream during a time, in seconds."""

    kind: str
    upstream: str
    start_s: float
    end_s: float


class TroubledService:
    """A service whose upstreams have troubles at times; implements ``Prober``."""

    def __init__(self, troubles: tuple[Trouble, ...]) -> None:
        self._troubles = troubles
        self._loop = asyncio.get_running_loop()
        self._begun = self._loop.time()
        self.runs: list[str] = []
        self.balancer = ServiceBalancer(
            "service-a", "node-1", "a", self, random.Random(1), self._loop.time
        )
        for identifier in UPSTREAMS:
            self.balancer.set_upstream(build_upstream(identifier))
        self.balancer.set_probe_rate(60.0, instances=1)

    def find_troubles(self, identifier: str) -> set[str]:
        now = self._loop.time() - self._begun
        return {
            trouble.kind
            for trouble in self._troubles
            if trouble.upstream == identifier and trouble.start_s <= now < trouble.end_s
        }

    async def probe(self, upstream):
        troubles = self.find_troubles(upstream.id)
        await asyncio.sleep(0.003)
        if "wrong-id" in troubles:
            raise LookupError("another upstream responds")
        if "silent-probes" in troubles or "unreachable" in troubles:
            return None
        report = LoadReport(6, 9, 6, 8.0) if "claims-load" in troubles else IDLE
        notice = UpstreamNotice(False, 1.0 if "busy" in troubles else 0.0)
        return ProbeResult(report, "false-health" not in troubles, notice)

    async def call(self) -> bool:
        context = build_context(0.3, DEADLINE_S)
        for _ in range(2):
            try:
                tracked = await self.balancer.acquire(context)
            except BalancingError:
                return False
            if await self._run(tracked, context):
                return True
            context.excluded.add(tracked.upstream.id)
        return False

    async def _run(self, tracked, context) -> bool:
        identifier = tracked.upstream.id
        self.runs.append(identifier)
        troubles = self.find_troubles(identifier)
        begun = self._loop.time()
        left_s = context.deadline - begun
        service_time_s = USUAL_S * (10.0 if "slow" in troubles else 1.0)
        await asyncio.sleep(min(service_time_s, left_s))
        outcome = Succeeded(service_time_s, None)
        if service_time_s > left_s or "fails" in troubles:
            outcome = Failed("no response")
        elif "unreachable" in troubles:
            outcome = Unreachable("refused")
        elif "sheds" in troubles or "misdirects" in troubles or "busy" in troubles:
            outcome = NotRun(None)
        if "misdirects" in troubles:
            tracked.record_misdirection("status 421", self._loop.time())
        if "busy" in troubles:
            self.balancer.apply_notice(tracked, UpstreamNotice(False, 1.0))
        self.balancer.release(tracked, context, outcome)
        return isinstance(outcome, Succeeded)

    async def call_for(self, duration_s: float, burst: int = 1) -> list[bool]:
        calls = []
        for _ in range(int(duration_s / INTERVAL_S)):
            calls += [asyncio.create_task(self.call()) for _ in range(burst)]
            await asyncio.sleep(INTERVAL_S)
        return await asyncio.gather(*calls)


async def observe_return(troubles) -> tuple[list[bool], set[str]]:
    """Returns which requests were served after the troubles, and where they ran."""
    service = TroubledService(tuple(troubles))
    await service.call_for(MAX_TROUBLE_S + RETURN_S)
    service.runs.clear()
    served = await service.call_for(OBSERVED_S, BURST)
    service.balancer.close()
    return served, set(service.runs)


@pytest.mark.parametrize("kind", TROUBLES)
def test_all_upstreams_return_after_the_same_trouble(kind):
    """Guards against state that only successes correct, which never come again."""
    troubles = [Trouble(kind, name, 1.0, MAX_TROUBLE_S) for name in UPSTREAMS]

    served, used = run_in_virtual_time(observe_return(troubles))

    assert all(served)
    assert used == set(UPSTREAMS)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(
    st.lists(
        st.builds(
            lambda kind, upstream, start_s, length_s: Trouble(
                kind, upstream, start_s, min(MAX_TROUBLE_S, start_s + length_s)
            ),
            st.sampled_from(TROUBLES),
            st.sampled_from(UPSTREAMS),
            st.floats(0.0, MAX_TROUBLE_S),
            st.floats(0.2, MAX_TROUBLE_S),
        ),
        min_size=1,
        max_size=10,
    )
)
def test_all_upstreams_return_after_any_troubles(troubles):
    """Guards against a combination of troubles that outlasts its causes."""
    served, used = run_in_virtual_time(observe_return(troubles))

    assert all(served)
    assert used == set(UPSTREAMS)
