"""Selection of upstreams by a single balancer, on virtual time."""

from __future__ import annotations

import asyncio
import random

import pytest

from measure.virtual_loop import run_in_virtual_time
from verbenacross.balancing.balancing_context import BalancingContext
from verbenacross.balancing.completion_estimate import count_efficient_slots
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


class FakeProber:
    """Returns the result configured for an upstream after one round trip."""

    def __init__(self, **results) -> None:
        self.results = results
        self.probed: list[str] = []

    async def probe(self, upstream):
        self.probed.append(upstream.id)
        await asyncio.sleep(0.003)
        result = self.results.get(upstream.id, ProbeResult(IDLE, is_healthy=True))
        if isinstance(result, Exception):
            raise result
        return result


def build_balancer(prober, *identifiers, rate=60.0, **changes) -> ServiceBalancer:
    clock = asyncio.get_running_loop().time
    balancer = ServiceBalancer(
        "service-a", "node-1", "a", prober, random.Random(1), clock
    )
    for identifier in identifiers:
        balancer.set_upstream(build_upstream(identifier, **changes))
    balancer.set_probe_rate(rate, instances=1)
    return balancer


def build_context(target_s=0.3, deadline_s=1.0, excluded=()) -> BalancingContext:
    now = asyncio.get_running_loop().time()
    return BalancingContext(
        "r", "work", 1, now, now + target_s, now + deadline_s, set(excluded)
    )


def build_result(running=0, waiting=0, slowness=1.0) -> ProbeResult:
    return ProbeResult(LoadReport(running, waiting, 6, slowness), is_healthy=True)


def run(scenario):
    """Runs a scenario on virtual time."""
    return run_in_virtual_time(scenario())


def test_upstream_on_a_slowed_machine_is_passed_over():
    async def scenario():
        prober = FakeProber(u1=build_result(slowness=7.0), u2=build_result(running=2))
        balancer = build_balancer(prober, "u1", "u2")
        tracked = await balancer.acquire(build_context())
        return tracked.upstream.id

    assert run(scenario) == "u2"


def test_request_waits_for_a_better_upstream_while_that_is_in_time():
    async def scenario():
        prober = FakeProber(u1=build_result(slowness=7.0))
        balancer = build_balancer(prober, "u1")
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, prober.results.pop, "u1")
        await balancer.acquire(build_context())
        return loop.time()

    assert 0.1 <= run(scenario) < 0.15


def test_slow_upstream_is_better_than_none():
    async def scenario():
        prober = FakeProber(u1=build_result(slowness=7.0))
        balancer = build_balancer(prober, "u1")
        tracked = await balancer.acquire(build_context(target_s=0.3, deadline_s=2.0))
        return tracked.upstream.id

    assert run(scenario) == "u1"


def test_what_cannot_be_served_in_time_is_refused_at_once():
    async def scenario():
        balancer = build_balancer(
            FakeProber(u1=build_result(running=6, waiting=12)), "u1"
        )
        with pytest.raises(DeadlineUnreachableError) as caught:
            await balancer.acquire(build_context(target_s=0.01, deadline_s=0.05))
        return asyncio.get_running_loop().time(), caught.value.retry_after_s

    refused_at, retry_after_s = run(scenario)
    assert refused_at < 0.03
    assert retry_after_s > 0


def test_others_are_probed_at_once_when_those_probed_first_are_unsuitable():
    """A pause until the next round would be as long as short work itself."""

    async def scenario():
        names = [f"u{number}" for number in range(6)]
        slow = {name: build_result(slowness=7.0) for name in names}
        prober = FakeProber(**slow)
        balancer = build_balancer(prober, *names)
        loop = asyncio.get_running_loop()
        request = asyncio.create_task(balancer.acquire(build_context()))
        while not prober.probed:
            await asyncio.sleep(0.0)
        # All but the upstreams of the first round are idle.
        for name in set(names) - set(prober.probed):
            del prober.results[name]
        await request
        return loop.time()

    assert run(scenario) < 0.01


def test_local_upstreams_that_stay_saturated_do_not_keep_remote_ones_unprobed():
    """Their fresh reports would take the place of probes to other failure domains."""

    async def scenario():
        local = {f"local{n}": build_result(running=6, waiting=12) for n in range(6)}
        balancer = build_balancer(FakeProber(**local), *local)
        for number in range(6):
            remote = build_upstream(f"remote{number}")._replace(failure_domain="b")
            balancer.set_upstream(remote)
        balancer.set_probe_rate(60.0, instances=1)
        tracked = await balancer.acquire(build_context(target_s=0.4))
        return tracked.upstream.failure_domain, asyncio.get_running_loop().time()

    failure_domain, assigned_at = run(scenario)
    assert failure_domain == "b"
    # A crossing must save a quarter of the target; the next round follows 50 ms later.
    assert assigned_at < 0.4 / 4 + 0.05 + 0.03


@pytest.mark.parametrize("reason", ["none", "draining", "excluded"])
def test_no_upstream(reason):
    async def scenario():
        names = [] if reason == "none" else ["u1"]
        balancer = build_balancer(FakeProber(), *names, draining=reason == "draining")
        excluded = ["u1"] if reason == "excluded" else []
        with pytest.raises(NoUpstreamError):
            await balancer.acquire(build_context(excluded=excluded))
        return asyncio.get_running_loop().time()

    assert run(scenario) == 0.0


def test_second_attempt_finds_the_other_upstream_when_probes_are_short():
    """With a small probe budget, every probe used to go to the excluded upstream."""

    async def scenario():
        balancer = build_balancer(FakeProber(), "u1", "u2", rate=2.0)
        tracked = await balancer.acquire(build_context(excluded=["u1"]))
        return tracked.upstream.id, asyncio.get_running_loop().time()

    chosen, at = run(scenario)
    assert chosen == "u2"
    assert at < 0.1


def test_choice_goes_on_when_no_probe_is_left():
    async def scenario():
        balancer = build_balancer(FakeProber(), "u1", "u2", rate=0.0)
        chosen = set()
        for _ in range(4):
            tracked = await balancer.acquire(build_context())
            chosen.add(tracked.upstream.id)
        return chosen, asyncio.get_running_loop().time()

    chosen, at = run(scenario)
    assert chosen == {"u1", "u2"}
    assert at < 0.1


def test_upstream_that_answers_no_probe_gets_no_work_while_others_do():
    async def scenario():
        balancer = build_balancer(FakeProber(u1=None), "u1", "u2")
        chosen = [
            (await balancer.acquire(build_context())).upstream.id for _ in range(4)
        ]
        return chosen

    assert run(scenario) == ["u2"] * 4


def test_another_upstream_at_the_address_gets_no_work():
    async def scenario():
        prober = FakeProber(u1=LookupError("another upstream responds"))
        balancer = build_balancer(prober, "u1", "u2")
        chosen = [
            (await balancer.acquire(build_context())).upstream.id for _ in range(4)
        ]
        return chosen

    assert run(scenario) == ["u2"] * 4


def test_own_sends_count_before_any_report_shows_them():
    async def scenario():
        balancer = build_balancer(FakeProber(), "u1", "u2")
        contexts = [build_context() for _ in range(6)]
        upstreams = await asyncio.gather(*map(balancer.acquire, contexts))
        return sorted(tracked.upstream.id for tracked in upstreams)

    assert run(scenario) == ["u1"] * 3 + ["u2"] * 3


def test_caller_that_leaves_while_waiting_leaves_nothing_behind():
    async def scenario():
        prober = FakeProber(u1=build_result(running=6, waiting=4))
        balancer = build_balancer(prober, "u1")
        task = asyncio.create_task(balancer.acquire(build_context()))
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.wait([task])
        await asyncio.sleep(0.05)
        return balancer.waiting, balancer.upstreams["u1"].in_flight

    assert run(scenario) == (0, 0)


def test_upstream_that_fails_always_loses_its_work_within_a_second():
    async def scenario():
        balancer = build_balancer(FakeProber(), "u1", "u2", "u3")
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

    assert run(scenario) <= 1.0 + 0.1


def test_upstreams_that_all_call_themselves_ill_get_work_at_once():
    """The health path may report healthy upstreams as unhealthy.

    If all do so, requests must not wait for a better one.
    """

    async def scenario():
        unhealthy = ProbeResult(IDLE, is_healthy=False)
        prober = FakeProber(u1=unhealthy, u2=unhealthy, u3=unhealthy)
        balancer = build_balancer(prober, "u1", "u2", "u3")
        # The usual service time meets the target; three times as long would not.
        balancer.service_times.add("work", 0.15, 1.0, now=0.0)
        started = asyncio.get_running_loop().time()
        await balancer.acquire(build_context(target_s=0.3))
        return asyncio.get_running_loop().time() - started

    assert run(scenario) < 0.02


def test_upstream_that_calls_itself_ill_comes_after_those_that_do_not():
    async def scenario():
        unhealthy = ProbeResult(IDLE, is_healthy=False)
        prober = FakeProber(
            u1=unhealthy, u2=build_result(running=2), u3=build_result(running=2)
        )
        balancer = build_balancer(prober, "u1", "u2", "u3")
        return (await balancer.acquire(build_context())).upstream.id

    assert run(scenario) != "u1"


def test_request_that_is_late_anyway_makes_room_for_those_that_are_not():
    """A request that is refused only at its deadline leaves no time to retry."""

    async def scenario():
        balancer = build_balancer(
            FakeProber(u1=build_result(running=6, waiting=3)), "u1"
        )
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

    assert run(scenario) < 0.1


def test_short_queue_of_a_service_that_was_quiet_is_not_refused():
    """Without an assignment in the last second, the estimated wait was a second."""

    async def scenario():
        prober = FakeProber(u1=build_result(running=6, waiting=1))
        balancer = build_balancer(prober, "u1")
        asyncio.get_running_loop().call_later(0.1, prober.results.pop, "u1")
        contexts = [build_context(0.3, 0.6) for _ in range(3)]
        upstreams = await asyncio.gather(*map(balancer.acquire, contexts))
        return len(upstreams)

    assert run(scenario) == 3


def test_single_request_does_not_crowd_an_upstream_at_its_best_load():
    """A request on the fifth of six slots takes 1.7 times as long, so it should wait.

    At a load peak, each of many instances has only a few waiting requests, and together
    they would saturate the upstreams.
    """

    async def scenario():
        prober = FakeProber(u1=build_result(running=4), u2=build_result(running=5))
        balancer = build_balancer(prober, "u1", "u2")
        loop = asyncio.get_running_loop()
        loop.call_later(0.06, prober.results.update, {"u2": build_result(running=3)})
        tracked = await balancer.acquire(build_context(target_s=0.3, deadline_s=1.0))
        return tracked.upstream.id, loop.time()

    chosen, at = run(scenario)
    assert chosen == "u2"
    assert 0.06 <= at < 0.15


def test_late_request_takes_a_slowed_machine_while_the_fast_ones_are_full():
    """Otherwise it would be refused although an upstream could complete it."""

    async def scenario():
        prober = FakeProber(u1=build_result(running=4), u2=build_result(slowness=7.0))
        balancer = build_balancer(prober, "u1", "u2")
        tracked = await balancer.acquire(build_context(target_s=0.05, deadline_s=1.5))
        return tracked.upstream.id, asyncio.get_running_loop().time()

    chosen, at = run(scenario)
    assert chosen == "u2"
    assert at < 0.1


def test_near_upstream_comes_before_one_that_is_a_little_faster():
    """Traffic between failure domains is paid for."""

    async def scenario():
        prober = FakeProber(near=build_result(running=2))
        balancer = build_balancer(prober, "near")
        for number in range(4):
            far = build_upstream(f"far-{number}", failure_domain="b")
            balancer.set_upstream(far)
        chosen = []
        for _ in range(4):
            chosen.append((await balancer.acquire(build_context())).upstream.id)
            await asyncio.sleep(0.3)
        return chosen, prober.probed

    chosen, probed = run(scenario)
    assert chosen == ["near"] * 4
    # The near upstream is probed for each request, even if it was slow recently.
    assert probed.count("near") == 4


def test_far_upstream_takes_work_while_the_near_one_is_slowed():
    async def scenario():
        prober = FakeProber(near=build_result(slowness=3.0))
        balancer = build_balancer(prober, "near")
        balancer.set_upstream(build_upstream("far", failure_domain="b"))
        return (await balancer.acquire(build_context())).upstream.id

    assert run(scenario) == "far"


def test_near_upstreams_serve_alone_while_no_other_would_save_enough():
    """Probes of upstreams in other failure domains are paid for as well."""

    async def scenario():
        prober = FakeProber()
        balancer = build_balancer(prober, "near-1", "near-2")
        for number in range(4):
            far = build_upstream(f"far-{number}", failure_domain="b")
            balancer.set_upstream(far)
        chosen = []
        for _ in range(8):
            chosen.append((await balancer.acquire(build_context())).upstream.id)
        return chosen, prober.probed

    chosen, probed = run(scenario)
    assert set(chosen) == {"near-1", "near-2"}
    assert set(probed) <= {"near-1", "near-2"}


def test_far_upstreams_take_what_the_near_ones_cannot():
    """Guards against requests that wait while other failure domains have room."""

    async def scenario():
        prober = FakeProber(near=build_result(running=4))
        balancer = build_balancer(prober, "near")
        balancer.set_upstream(build_upstream("far", failure_domain="b"))
        started = asyncio.get_running_loop().time()
        chosen = (await balancer.acquire(build_context())).upstream.id
        return chosen, asyncio.get_running_loop().time() - started

    chosen, waited_s = run(scenario)
    assert chosen == "far"
    # One round of probes for each failure domain.
    assert waited_s < 0.02


def test_both_slots_of_an_upstream_are_used():
    """Two busy slots complete more than one, although they slow each other down."""

    async def scenario():
        idle, full = (
            ProbeResult(LoadReport(running, 0, 2, 1.0), is_healthy=True)
            for running in (0, 2)
        )
        prober = FakeProber(u1=idle)
        balancer = build_balancer(prober, "u1", slots=2)
        started = asyncio.get_running_loop().time()
        for _ in range(2):
            await balancer.acquire(build_context())
        waited_s = asyncio.get_running_loop().time() - started
        prober.results["u1"] = full
        third = asyncio.create_task(balancer.acquire(build_context()))
        await asyncio.sleep(0.1)
        is_third_waiting = not third.done()
        third.cancel()
        return waited_s, is_third_waiting

    waited_s, is_third_waiting = run(scenario)
    assert waited_s < 0.02
    assert is_third_waiting


@pytest.mark.parametrize(("slots", "efficient"), [(1, 1), (2, 2), (4, 3), (6, 4)])
def test_slots_in_use_at_the_highest_throughput(slots, efficient):
    assert count_efficient_slots(slots) == efficient
