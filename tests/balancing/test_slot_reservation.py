"""Slots that less urgent requests leave free for more urgent ones."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from measure.reservation import run_burst
from verbenacross.balancing.balancing_context import BalancingContext
from verbenacross.balancing.completion_estimate import count_efficient_slots
from verbenacross.balancing.exceptions import DeadlineUnreachableError
from verbenacross.balancing.service_time_estimator import ServiceTimeEstimator
from verbenacross.balancing.slot_reservation import (
    DEMAND_WINDOW_S,
    SlotReservation,
    count_reserved_slots,
)
from verbenacross.node.balancer_registry import BalancerRegistry
from verbenacross.node.discovery_state import DiscoveryState

from .builders import build_upstream
from .test_choice import FakeProber, build_balancer, build_result, run

SEEDS = [1, 2, 3]


def build_context(
    kind="export", priority=2, target_s=3.0, deadline_s=6.0, now=0.0
) -> BalancingContext:
    return BalancingContext("r", kind, priority, now, now + target_s, now + deadline_s)


def build_title(now=0.0, **changes) -> BalancingContext:
    properties = {"priority": 0, "target_s": 0.25, "deadline_s": 0.8} | changes
    return build_context("title", now=now, **properties)


def build_reservation(**service_times_s) -> SlotReservation:
    estimator = ServiceTimeEstimator()
    for kind, service_time_s in service_times_s.items():
        estimator.add(kind, service_time_s, 1.0, 0.0)
    return SlotReservation(estimator)


@pytest.mark.parametrize(
    ("priority", "target_s", "is_urgent"),
    [(0, 3.0, True), (0, 9.0, True), (2, 0.75, True), (2, 0.8, False), (3, 0.1, False)],
)
def test_priority_precedes_the_objective(priority, target_s, is_urgent):
    """A short objective of low priority must not take slots from a higher priority."""
    reservation = build_reservation()
    reservation.record_request(build_title(priority=priority, target_s=target_s), 0.0)
    reservation.record_request(build_context(), 0.0)

    assert (reservation.get_urgent_share(build_context(), 0.0) > 0) is is_urgent


def test_share_is_that_of_the_work_and_not_of_the_requests():
    """Many tiny urgent requests must not take half of the slots."""
    reservation = build_reservation(title=0.1, export=0.6)
    for _ in range(6):
        reservation.record_request(build_title(), 0.0)
    reservation.record_request(build_context(), 0.0)

    assert reservation.get_urgent_share(build_context(), 0.0) == pytest.approx(0.5)
    assert reservation.get_urgent_share(build_title(), 0.0) == 0.0


def test_requests_of_a_kind_are_one_class_at_any_time():
    """Inexact differences of clock values would make a class of every request."""
    reservation = build_reservation()
    for number in range(100):
        reservation.record_request(build_title(now=number * 0.0137), 0.0)

    assert len(reservation.get_demand(0.0)) == 1


def test_slots_are_free_again_once_no_urgent_request_was_seen():
    """Slots that stay reserved for traffic that has ended would be wasted."""
    reservation = build_reservation()
    reservation.record_request(build_title(), 0.0)
    reservation.record_request(build_context(), 5.0)

    assert reservation.count_reserved(build_context(), 6, DEMAND_WINDOW_S - 0.1) == 1
    assert reservation.count_reserved(build_context(), 6, DEMAND_WINDOW_S) == 0


@pytest.mark.parametrize("slots", range(1, 65))
def test_less_urgent_requests_keep_half_of_the_efficient_slots(slots):
    """Requests must not starve, however much more the urgent ones ask for."""
    efficient = count_efficient_slots(slots)
    for share in (0.0, 0.01, 0.1, 0.3, 0.6, 0.9, 1.0):
        assert 2 * count_reserved_slots(slots, share) <= efficient
    assert count_reserved_slots(slots, 0.0) == 0


@pytest.mark.parametrize(
    ("slots", "share", "reserved"),
    [(1, 0.9, 0), (2, 0.1, 0), (2, 0.3, 1), (3, 0.3, 1), (6, 0.05, 0), (6, 0.3, 1)],
)
def test_small_upstreams_reserve_one_slot_or_none(slots, share, reserved):
    """An upstream with one slot would otherwise never get less urgent requests."""
    assert count_reserved_slots(slots, share) == reserved


async def acquire(prober, context, *, is_enabled=True, then_disables=False):
    """Returns when a request gets an upstream after an urgent one was seen."""
    balancer = build_balancer(prober, *prober.results)
    balancer.set_reservation(is_enabled=is_enabled)
    if balancer.reservation is not None:
        balancer.reservation.record_request(build_title(), 0.0)
    loop = asyncio.get_running_loop()
    if then_disables:
        loop.call_later(1.0, lambda: balancer.set_reservation(is_enabled=False))
    try:
        await balancer.acquire(context)
    finally:
        reservation = balancer.reservation
        held_back = reservation.held_back.total() if reservation else None
    return loop.time(), held_back


@pytest.mark.parametrize(
    ("context", "busy", "is_held_back"),
    [
        (build_context(), 2, False),
        (build_context(), 3, True),
        (build_title(), 3, False),
    ],
)
def test_less_urgent_request_waits_rather_than_take_the_last_slot(
    context, busy, is_held_back
):
    """An urgent request that arrives next would find no free slot."""

    async def scenario():
        prober = FakeProber(u1=build_result(running=busy))
        loop = asyncio.get_running_loop()
        loop.call_later(0.5, prober.results.update, {"u1": build_result()})
        return await acquire(prober, context)

    at, held_back = run(scenario)
    assert (at >= 0.5) is is_held_back
    assert held_back == is_held_back


def test_less_urgent_request_waits_rather_than_hold_a_slow_slot():
    """It would hold a slot of a slow upstream seven times as long."""

    async def scenario():
        slow, full = build_result(slowness=7.0), build_result(running=6)
        prober = FakeProber(u1=slow, u2=full, u3=full, u4=full)
        loop = asyncio.get_running_loop()
        loop.call_later(0.5, prober.results.update, {"u2": build_result()})
        return await acquire(prober, build_context())

    at, held_back = run(scenario)
    assert at >= 0.5
    assert held_back == 1


def test_less_urgent_request_does_not_wait_if_all_upstreams_are_slow():
    """No faster upstream will turn up, and the request must not starve."""

    async def scenario():
        slow = build_result(slowness=7.0)
        return await acquire(FakeProber(u1=slow, u2=slow), build_context())

    at, held_back = run(scenario)
    assert at < 0.1
    assert held_back == 0


def test_held_back_request_is_refused_with_a_retry_after_time():
    """A caller must not wait in vain until its deadline."""

    async def scenario():
        prober = FakeProber(u1=build_result(running=3))
        with pytest.raises(DeadlineUnreachableError) as caught:
            await acquire(prober, build_context(target_s=0.5, deadline_s=1.0))
        return asyncio.get_running_loop().time(), caught.value.retry_after_s

    at, retry_after_s = run(scenario)
    assert at <= 1.0
    assert retry_after_s > 0


@pytest.mark.parametrize("then_disables", [False, True])
def test_disabled_reservation_holds_nothing_back(then_disables):
    """Without the setting, or once it is reset, requests must use all slots."""

    async def scenario():
        prober = FakeProber(u1=build_result(running=3))
        return await acquire(
            prober,
            build_context(),
            is_enabled=then_disables,
            then_disables=then_disables,
        )

    at, held_back = run(scenario)
    assert at < (1.1 if then_disables else 0.1)
    assert held_back is None


def test_setting_takes_effect_on_reload():
    """Operators must be able to switch the reservation on and off at any time."""

    async def scenario():
        off = SimpleNamespace(
            instance="i1",
            failure_domain="a",
            probes_per_second=60.0,
            retry_ratio=0.2,
            retry_slack=0.0,
            reserve_slots=False,
        )
        on = SimpleNamespace(**(vars(off) | {"reserve_slots": True}))
        registry = BalancerRegistry(off, DiscoveryState(), FakeProber())
        balancer = registry.get_balancer("service-a")
        balancer.set_upstream(build_upstream("u1"))
        counts = []
        for settings in (off, on, off):
            registry.apply_settings(settings)
            if balancer.reservation is not None:
                balancer.reservation.record_request(build_title(), 0.0)
                balancer.reservation.record_request(build_context(), 0.0)
            counts.append(registry.count_reserved_slots())
        return counts

    off, on, off_again = run(scenario)
    assert on == {("service-a", "title"): 0, ("service-a", "export"): 1}
    assert off == off_again == {}


@pytest.mark.parametrize(("instances", "upstreams"), [(13, 15), (119, 40)])
@pytest.mark.parametrize(
    ("load", "min_gain", "max_loss"),
    [(0.6, -0.01, 0.01), (0.8, -0.01, 0.01), (1.0, 0.05, 0.01), (1.2, 0.15, 0.02)],
)
def test_burst_of_long_requests_beside_short_urgent_ones(
    instances, upstreams, load, min_gain, max_loss
):
    """Long requests of low priority occupy the slots that urgent ones need.

    A third of the upstreams are seven times slower for half a second at a time.
    """
    in_time = {}
    for reserves_slots in (False, True):
        results = [
            run_burst(
                load,
                instances=instances,
                upstreams=upstreams,
                seed=seed,
                reserves_slots=reserves_slots,
            )
            for seed in SEEDS
        ]
        for name in ("short", "long"):
            kinds = [getattr(result, name) for result in results]
            share = sum(kind.in_time for kind in kinds) / sum(k.total for k in kinds)
            in_time[name, reserves_slots] = share

    assert in_time["short", True] >= in_time["short", False] + min_gain
    assert in_time["long", True] >= in_time["long", False] - max_loss
