"""What upstreams state about themselves: that they leave, or are busy for a time."""

from __future__ import annotations

import asyncio
import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from measure.notices import run_notice
from measure.virtual_loop import run_in_virtual_time
from tests.fake_clock import FakeClock
from verbenacross.balancing.exceptions import NoUpstreamError
from verbenacross.balancing.load_report import LoadReport
from verbenacross.balancing.outcome import NotRun
from verbenacross.balancing.prober import ProbeResult
from verbenacross.balancing.service_balancer import (
    MAX_REMOVED_UPSTREAMS,
    ServiceBalancer,
)
from verbenacross.balancing.upstream_notice import UpstreamNotice

from .builders import build_upstream
from .test_choice import FakeProber, build_balancer, build_context

LEAVING = UpstreamNotice(is_leaving=True)
IDLE = LoadReport(0, 0, 6, 1.0)


def build_busy(seconds: float) -> UpstreamNotice:
    return UpstreamNotice(busy_for_s=seconds)


def run(scenario):
    return run_in_virtual_time(scenario())


@pytest.mark.parametrize("notice", [LEAVING, build_busy(5.0)])
def test_only_upstream_that_wants_no_requests_is_not_used(notice):
    """No fallback sends requests there; they are refused at once."""

    async def scenario():
        prober = FakeProber()
        balancer = build_balancer(prober, "u1")
        balancer.apply_notice(balancer.upstreams["u1"], notice)
        begun = asyncio.get_running_loop().time()
        with pytest.raises(NoUpstreamError):
            await balancer.acquire(build_context())
        return asyncio.get_running_loop().time() - begun, prober.probed

    waited_s, probed = run(scenario)
    assert waited_s == 0
    assert probed == []


def test_refused_callers_learn_when_the_first_busy_upstream_returns():
    async def scenario():
        balancer = build_balancer(FakeProber(), "u1", "u2", "u3")
        for name, seconds in (("u1", 4.0), ("u2", 2.5)):
            balancer.apply_notice(balancer.upstreams[name], build_busy(seconds))
        balancer.apply_notice(balancer.upstreams["u3"], LEAVING)
        times = []
        for _ in range(20):
            with pytest.raises(NoUpstreamError) as caught:
                await balancer.acquire(build_context())
            times.append(caught.value.retry_after_s)
        return times

    times = run(scenario)
    assert min(times) > 2.5 and max(times) < 4.0
    # Not all of them return at one moment.
    assert len(set(times)) == len(times)


def test_waiting_requests_are_refused_when_the_last_upstream_leaves():
    async def scenario():
        saturated = ProbeResult(LoadReport(6, 9, 6, 1.0), is_healthy=True)
        balancer = build_balancer(FakeProber(u1=saturated), "u1")
        loop = asyncio.get_running_loop()
        waiting = asyncio.create_task(balancer.acquire(build_context(0.3, 5.0)))
        await asyncio.sleep(0.1)
        assert not waiting.done()
        balancer.apply_notice(balancer.upstreams["u1"], LEAVING)
        noticed_at = loop.time()
        with pytest.raises(NoUpstreamError):
            await waiting
        return loop.time() - noticed_at

    assert run(scenario) < 0.05


def test_busy_upstream_returns_at_the_stated_time_and_not_before():
    async def scenario():
        prober = FakeProber()
        balancer = build_balancer(prober, "u1", "u2")
        balancer.apply_notice(balancer.upstreams["u1"], build_busy(2.0))
        begun = asyncio.get_running_loop().time()
        used = {}
        while asyncio.get_running_loop().time() - begun < 6.0:
            tracked = await balancer.acquire(build_context())
            at = asyncio.get_running_loop().time() - begun
            used.setdefault(tracked.upstream.id, at)
            balancer.release(tracked, build_context(), NotRun(None))
            if "u1" in prober.probed:
                used.setdefault("first probe", at)
            await asyncio.sleep(0.05)
        return used

    used = run(scenario)
    assert used["u1"] >= 2.0
    assert used["first probe"] >= 2.0
    assert used["u1"] < 6.0


def test_busy_upstream_is_not_ejected():
    """A rejection with free slots counts as a failure, but not one with a notice."""

    async def scenario():
        balancer = build_balancer(FakeProber(), "u1")
        tracked = balancer.upstreams["u1"]
        for _ in range(10):
            tracked.record_attempt(0.0)
            balancer.apply_notice(tracked, build_busy(1.0))
            balancer.release(tracked, build_context(), NotRun(IDLE))
        return tracked.failure_rate, tracked.ejections

    assert run(scenario) == (0.0, 0)


def test_notice_in_the_answer_to_a_probe():
    async def scenario():
        result = ProbeResult(IDLE, is_healthy=True, notice=LEAVING)
        balancer = build_balancer(FakeProber(u1=result), "u1", "u2")
        chosen = set()
        for _ in range(20):
            tracked = await balancer.acquire(build_context())
            chosen.add(tracked.upstream.id)
            balancer.release(tracked, build_context(), NotRun(None))
            await asyncio.sleep(0.03)
        return chosen

    assert run(scenario) == {"u2"}


@pytest.mark.parametrize("notice", [LEAVING, build_busy(5.0)])
def test_notice_outlasts_an_entry_that_returns(notice):
    """Guards against requests to a leaving upstream whose entry lapsed for a while.

    A server that cannot reach the store for some seconds writes its entry again.
    """

    async def scenario():
        balancer = build_balancer(FakeProber(), "u1")
        balancer.apply_notice(balancer.upstreams["u1"], notice)
        balancer.remove_upstream("u1")
        balancer.set_upstream(build_upstream("u1"))
        with pytest.raises(NoUpstreamError):
            await balancer.acquire(build_context())
        # A new start of the upstream is free of it.
        balancer.set_upstream(build_upstream("u1", started_ms=1))
        return (await balancer.acquire(build_context())).upstream.id

    assert run(scenario) == "u1"


def test_notices_of_removed_upstreams_are_limited():
    async def scenario():
        balancer = build_balancer(FakeProber())
        for number in range(MAX_REMOVED_UPSTREAMS + 10):
            balancer.set_upstream(build_upstream(f"u{number}"))
            balancer.apply_notice(balancer.upstreams[f"u{number}"], LEAVING)
            balancer.remove_upstream(f"u{number}")
        return len(balancer._removed)

    assert run(scenario) == MAX_REMOVED_UPSTREAMS


@pytest.mark.parametrize("notice", ["leaving", "busy"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_instance_sends_more_after_it_was_told(notice, seed):
    """Of 13 instances, each learns it for itself while the others go on."""
    result = run_notice(notice, instances=13, upstreams=15, heard=True, seed=seed)

    assert result.late_arrivals == 0
    assert result.refused == 0


NAMES = st.sampled_from(["u1", "u2", "u3"])


class NoticeMachine(RuleBasedStateMachine):
    """Entries, restarts, addresses, notices and time, against a plain model."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = FakeClock()
        self.balancer = ServiceBalancer(
            "service-a", "node-1", "a", FakeProber(), random.Random(1), self.clock
        )
        # Start of each upstream, whether it leaves, and until when it is busy.
        self.model: dict[str, tuple[int, bool, float]] = {}
        self.listed: set[str] = set()

    @rule(name=NAMES, born=st.integers(1, 3), port=st.integers(1, 2))
    def list_entry(self, name, born, port):
        address = f"10.0.0.1:{port}"
        upstream = build_upstream(name, started_ms=born, address=address)
        self.balancer.set_upstream(upstream)
        self.listed.add(name)
        if name not in self.model or self.model[name][0] != born:
            self.model[name] = (born, False, 0.0)

    @rule(name=NAMES)
    def remove_entry(self, name):
        self.balancer.remove_upstream(name)
        self.listed.discard(name)

    @rule(name=NAMES, leaves=st.booleans(), seconds=st.floats(0, 5))
    def state(self, name, leaves, seconds):
        if name not in self.listed:
            return
        notice = UpstreamNotice(leaves, seconds)
        self.balancer.apply_notice(self.balancer.upstreams[name], notice)
        born, is_leaving, busy_until = self.model[name]
        busy_until = max(busy_until, self.clock.now + seconds)
        self.model[name] = (born, is_leaving or leaves, busy_until)

    @rule(seconds=st.floats(0, 3))
    def wait(self, seconds):
        self.clock.now += seconds

    @rule(name=NAMES)
    def eject(self, name):
        if name in self.listed:
            self.balancer.upstreams[name].ejected_until = self.clock.now + 2.0

    @invariant()
    def only_upstreams_that_want_requests_are_eligible(self):
        willing = {
            name
            for name, (_, is_leaving, busy_until) in self.model.items()
            if name in self.listed and not is_leaving and self.clock.now >= busy_until
        }
        eligible = {t.upstream.id for t in self.balancer._get_eligible()}
        assert eligible <= willing
        # Ejected ones are left out only while enough others remain.
        assert bool(eligible) == bool(willing)


NoticeMachine.TestCase.settings = settings(max_examples=100, deadline=None)
test_notices = NoticeMachine.TestCase
