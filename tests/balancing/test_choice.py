"""Choices of one balancer in single situations, on virtual time."""

from __future__ import annotations

import asyncio
import random

import pytest

from measure.virtual_loop import run_virtual
from verbenacross.balancing.balancing_context import BalancingContext
from verbenacross.balancing.exceptions import (
    DeadlineUnreachableError,
    NoUpstreamError,
)
from verbenacross.balancing.load_report import LoadReport
from verbenacross.balancing.outcome import Abandoned, Failed
from verbenacross.balancing.prober import ProbeResult
from verbenacross.balancing.service_balancer import ServiceBalancer

from .builders import build_upstream

IDLE = LoadReport(0, 0, 6, 1.0)


class FixedProber:
    """Answers each probe after a round trip with what is set for the upstream."""

    def __init__(self, **answers) -> None:
        self.answers = answers
        self.asked: list[str] = []

    async def probe(self, upstream):
        self.asked.append(upstream.id)
        await asyncio.sleep(0.003)
        answer = self.answers.get(upstream.id, ProbeResult(IDLE, is_healthy=True))
        if isinstance(answer, Exception):
            raise answer
        return answer


def build_balancer(prober, *identifiers, rate=60.0, **changes) -> ServiceBalancer:
    clock = asyncio.get_running_loop().time
    balancer = ServiceBalancer("service-a", "a", prober, random.Random(1), clock)
    for identifier in identifiers:
        balancer.set_upstream(build_upstream(identifier, **changes))
    balancer.set_probe_rate(rate, instances=1)
    return balancer


def build_context(target_s=0.3, deadline_s=1.0, excluded=()) -> BalancingContext:
    now = asyncio.get_running_loop().time()
    return BalancingContext(
        "r", "work", 1, now, now + target_s, now + deadline_s, set(excluded)
    )


def report(running=0, waiting=0, slowness=1.0) -> ProbeResult:
    return ProbeResult(LoadReport(running, waiting, 6, slowness), is_healthy=True)


def run(work):
    """Runs a scenario on virtual time."""
    return run_virtual(work())


def test_upstream_on_a_slowed_machine_is_passed_over():
    async def work():
        prober = FixedProber(u1=report(slowness=7.0), u2=report(running=2))
        balancer = build_balancer(prober, "u1", "u2")
        tracked = await balancer.acquire(build_context())
        return tracked.upstream.id

    assert run(work) == "u2"


def test_request_waits_for_a_better_upstream_while_that_is_in_time():
    async def work():
        prober = FixedProber(u1=report(slowness=7.0))
        balancer = build_balancer(prober, "u1")
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, prober.answers.pop, "u1")
        await balancer.acquire(build_context())
        return loop.time()

    assert 0.1 <= run(work) < 0.15


def test_slow_upstream_is_better_than_none():
    async def work():
        prober = FixedProber(u1=report(slowness=7.0))
        balancer = build_balancer(prober, "u1")
        tracked = await balancer.acquire(build_context(target_s=0.3, deadline_s=2.0))
        return tracked.upstream.id

    assert run(work) == "u1"


def test_what_cannot_be_served_in_time_is_refused_at_once():
    async def work():
        balancer = build_balancer(FixedProber(u1=report(running=6, waiting=12)), "u1")
        with pytest.raises(DeadlineUnreachableError) as caught:
            await balancer.acquire(build_context(target_s=0.01, deadline_s=0.05))
        return asyncio.get_running_loop().time(), caught.value.retry_after_s

    refused_at, retry_after_s = run(work)
    assert refused_at < 0.03
    assert retry_after_s > 0


@pytest.mark.parametrize("reason", ["none", "draining", "excluded"])
def test_no_upstream(reason):
    async def work():
        names = [] if reason == "none" else ["u1"]
        balancer = build_balancer(FixedProber(), *names, draining=reason == "draining")
        excluded = ["u1"] if reason == "excluded" else []
        with pytest.raises(NoUpstreamError):
            await balancer.acquire(build_context(excluded=excluded))
        return asyncio.get_running_loop().time()

    assert run(work) == 0.0


def test_second_attempt_finds_the_other_upstream_when_probes_are_short():
    """The only probe went to the upstream that was excluded, again and again."""

    async def work():
        balancer = build_balancer(FixedProber(), "u1", "u2", rate=2.0)
        tracked = await balancer.acquire(build_context(excluded=["u1"]))
        return tracked.upstream.id, asyncio.get_running_loop().time()

    chosen, at = run(work)
    assert chosen == "u2"
    assert at < 0.1


def test_choice_goes_on_when_no_probe_is_left():
    async def work():
        balancer = build_balancer(FixedProber(), "u1", "u2", rate=0.0)
        chosen = set()
        for _ in range(4):
            tracked = await balancer.acquire(build_context())
            chosen.add(tracked.upstream.id)
        return chosen, asyncio.get_running_loop().time()

    chosen, at = run(work)
    assert chosen == {"u1", "u2"}
    assert at < 0.1


def test_upstream_that_answers_no_probe_gets_no_work_while_others_do():
    async def work():
        balancer = build_balancer(FixedProber(u1=None), "u1", "u2")
        chosen = [
            (await balancer.acquire(build_context())).upstream.id for _ in range(4)
        ]
        return chosen

    assert run(work) == ["u2"] * 4


def test_another_upstream_at_the_address_gets_no_work():
    async def work():
        prober = FixedProber(u1=LookupError("another answers"))
        balancer = build_balancer(prober, "u1", "u2")
        chosen = [
            (await balancer.acquire(build_context())).upstream.id for _ in range(4)
        ]
        return chosen

    assert run(work) == ["u2"] * 4


def test_own_sends_count_before_any_report_shows_them():
    async def work():
        balancer = build_balancer(FixedProber(), "u1", "u2")
        contexts = [build_context() for _ in range(6)]
        upstreams = await asyncio.gather(*map(balancer.acquire, contexts))
        return sorted(tracked.upstream.id for tracked in upstreams)

    assert run(work) == ["u1"] * 3 + ["u2"] * 3


def test_caller_that_leaves_while_waiting_leaves_nothing_behind():
    async def work():
        prober = FixedProber(u1=report(running=6, waiting=4))
        balancer = build_balancer(prober, "u1")
        task = asyncio.create_task(balancer.acquire(build_context()))
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.wait([task])
        await asyncio.sleep(0.05)
        return balancer.waiting, balancer.upstreams["u1"].in_flight

    assert run(work) == (0, 0)


def test_upstream_that_fails_always_loses_its_work_within_a_second():
    async def work():
        balancer = build_balancer(FixedProber(), "u1", "u2", "u3")
        loop = asyncio.get_running_loop()
        last_bad = 0.0
        while loop.time() < 3.0:
            context = build_context()
            tracked = await balancer.acquire(context)
            bad = tracked.upstream.id == "u1"
            if bad and loop.time() < 2.0:
                last_bad = loop.time()
            await asyncio.sleep(0.02)
            outcome = Failed("status 500") if bad else Abandoned()
            balancer.release(tracked, context, outcome)
        return last_bad

    assert run(work) <= 1.0 + 0.1


def test_upstreams_that_all_call_themselves_ill_get_work_at_once():
    """Answers on the health path may be false."""

    async def work():
        ill = ProbeResult(IDLE, is_healthy=False)
        prober = FixedProber(u1=ill, u2=ill, u3=ill)
        balancer = build_balancer(prober, "u1", "u2", "u3")
        # The work takes as long as is usual; three times that would be too late.
        balancer.service_times.add("work", 0.15, 1.0)
        started = asyncio.get_running_loop().time()
        await balancer.acquire(build_context(target_s=0.3))
        return asyncio.get_running_loop().time() - started

    assert run(work) < 0.02


def test_upstream_that_calls_itself_ill_comes_after_those_that_do_not():
    async def work():
        ill = ProbeResult(IDLE, is_healthy=False)
        prober = FixedProber(u1=ill, u2=report(running=2), u3=report(running=2))
        balancer = build_balancer(prober, "u1", "u2", "u3")
        return (await balancer.acquire(build_context())).upstream.id

    assert run(work) != "u1"


def test_request_that_is_late_anyway_makes_room_for_those_that_are_not():
    """Waiting for a turn that does not come costs the caller its retry."""

    async def work():
        balancer = build_balancer(FixedProber(u1=report(running=6, waiting=3)), "u1")
        loop = asyncio.get_running_loop()
        late = asyncio.create_task(
            balancer.acquire(build_context(target_s=0.05, deadline_s=5.0))
        )
        others = [
            asyncio.create_task(balancer.acquire(build_context(2.0, 5.0)))
            for _ in range(6)
        ]
        with pytest.raises(DeadlineUnreachableError):
            await late
        refused_at = loop.time()
        for task in others:
            task.cancel()
        await asyncio.wait(others)
        return refused_at

    assert run(work) < 0.1


def test_short_queue_of_a_service_that_was_quiet_is_not_refused():
    """Without any turn in the last second, a wait of a second was predicted."""

    async def work():
        prober = FixedProber(u1=report(running=6, waiting=1))
        balancer = build_balancer(prober, "u1")
        asyncio.get_running_loop().call_later(0.1, prober.answers.pop, "u1")
        contexts = [build_context(0.3, 0.6) for _ in range(3)]
        upstreams = await asyncio.gather(*map(balancer.acquire, contexts))
        return len(upstreams)

    assert run(work) == 3


def test_single_request_does_not_crowd_an_upstream_at_its_best_load():
    """A start on the fifth of six slots takes 1.7 times as long, so waiting is better.

    Each of many instances has only a few waiting requests at a crest.
    """

    async def work():
        prober = FixedProber(u1=report(running=4), u2=report(running=5))
        balancer = build_balancer(prober, "u1", "u2")
        loop = asyncio.get_running_loop()
        loop.call_later(0.06, prober.answers.update, {"u2": report(running=3)})
        tracked = await balancer.acquire(build_context(target_s=0.3, deadline_s=1.0))
        return tracked.upstream.id, loop.time()

    chosen, at = run(work)
    assert chosen == "u2"
    assert 0.06 <= at < 0.15


def test_late_request_takes_a_slowed_machine_while_the_fast_ones_are_full():
    """It would be refused otherwise, though a machine could answer it."""

    async def work():
        prober = FixedProber(u1=report(running=4), u2=report(slowness=7.0))
        balancer = build_balancer(prober, "u1", "u2")
        tracked = await balancer.acquire(build_context(target_s=0.05, deadline_s=1.5))
        return tracked.upstream.id, asyncio.get_running_loop().time()

    chosen, at = run(work)
    assert chosen == "u2"
    assert at < 0.1


def test_near_upstream_comes_before_one_that_is_a_little_faster():
    """Bytes between failure domains are paid for."""

    async def work():
        prober = FixedProber(near=report(running=2))
        balancer = build_balancer(prober, "near")
        for number in range(4):
            far = build_upstream(f"far-{number}", failure_domain="b")
            balancer.set_upstream(far)
        chosen = []
        for _ in range(4):
            chosen.append((await balancer.acquire(build_context())).upstream.id)
            await asyncio.sleep(0.3)
        return chosen, prober.asked

    chosen, asked = run(work)
    assert chosen == ["near"] * 4
    # Each request asks the near one, also if it was not good lately.
    assert asked.count("near") == 4


def test_far_upstream_takes_work_while_the_near_one_is_slowed():
    async def work():
        prober = FixedProber(near=report(slowness=3.0))
        balancer = build_balancer(prober, "near")
        balancer.set_upstream(build_upstream("far", failure_domain="b"))
        return (await balancer.acquire(build_context())).upstream.id

    assert run(work) == "far"
