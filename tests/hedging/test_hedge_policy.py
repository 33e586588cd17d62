"""When a second attempt may be sent, and how many."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenacross.hedging.hedge_policy import HEDGE_WINDOW_S, HedgePolicy

KIND = "search"
FAR = 1_000.0


def build_policy(ratio=0.1, latencies=(), seed=1) -> HedgePolicy:
    policy = HedgePolicy(ratio, random.Random(seed))
    for latency_s in latencies:
        policy.record_latency(KIND, latency_s, 0.0)
    return policy


# The median is 0.1 s and the 0.95 quantile 0.3 s.
USUAL = [0.1] * 30 + [0.3] * 9 + [0.9]


@pytest.mark.parametrize(
    ("target_s", "deadline_s", "expected_s"),
    [
        (FAR, FAR, 0.3),
        # The second response would miss the objective after the quantile.
        (0.35, FAR, 0.25),
        # Half of the first attempts have a response by then.
        (0.15, FAR, 0.1),
        (-1.0, FAR, 0.1),
        (FAR, 0.41, 0.3),
        # The second response would come after the deadline.
        (FAR, 0.39, None),
    ],
)
def test_time_of_the_second_attempt(target_s, deadline_s, expected_s):
    """Guards against second attempts that are sent too early, or to no avail."""
    policy = build_policy(latencies=USUAL)
    found = policy.find_hedge_time(KIND, 5.0, 5.0 + target_s, 5.0 + deadline_s)
    if expected_s is None:
        assert found is None
    else:
        assert found == pytest.approx(5.0 + expected_s)


def test_no_second_attempt_on_too_few_or_old_latencies():
    """Guards against quantiles that a handful of requests or an old state decides."""
    assert build_policy(latencies=USUAL[:19]).find_hedge_time(KIND, 1, FAR, FAR) is None
    policy = build_policy(latencies=USUAL)
    assert policy.find_hedge_time("other", 1.0, FAR, FAR) is None
    assert policy.find_hedge_time(KIND, 59.0, FAR, FAR) is not None
    assert policy.find_hedge_time(KIND, 61.0, FAR, FAR) is None


def test_silence_is_measured_against_the_usual_latency_and_the_reported_slowness():
    """Guards against upstreams that are blamed though they said that they are slow."""
    policy = build_policy(latencies=USUAL)
    assert not policy.is_silent(KIND, 0.29, 1.0, 1.0)
    assert policy.is_silent(KIND, 0.31, 1.0, 1.0)
    assert not policy.is_silent(KIND, 0.31, 4.0, 1.0)
    assert not policy.is_silent("other", 9.0, 1.0, 1.0)


@given(
    st.integers(0, 2**32),
    st.floats(0.0, 0.2),
    st.lists(st.tuples(st.floats(0.0, 0.5), st.integers(0, 2)), max_size=300),
)
def test_no_window_holds_more_than_its_share(seed, ratio, events):
    """Guards against unused shares that accumulate for a time when all are slow."""
    policy = build_policy(ratio, seed=seed)
    now, requests, hedges = 0.0, [], []
    for pause_s, wanted in events:
        now += pause_s
        policy.record_request(now)
        requests.append(now)
        for _ in range(wanted):
            if policy.try_spend(now):
                hedges.append(now)
        in_window = [at for at in hedges if at >= now - HEDGE_WINDOW_S]
        eligible = [at for at in requests if at >= now - HEDGE_WINDOW_S]
        # Requests that left the window while their second attempts stay in it.
        earlier = [at for at in requests if at >= now - 2 * HEDGE_WINDOW_S]
        assert len(in_window) <= ratio * len(earlier) + 1
        if not ratio:
            assert not in_window
        if hedges and hedges[-1] == now:
            assert len(in_window) <= ratio * len(eligible) + 1


@pytest.mark.parametrize(("instances", "per_window"), [(13, 300), (119, 30), (311, 3)])
def test_instances_reach_the_ratio_together_and_not_more(instances, per_window):
    """Guards against rounding: 3 requests a window allow 0.15 second attempts."""
    ratio, length_s = 0.05, 60.0
    hedges = requests = 0
    for number in range(instances):
        policy = build_policy(ratio, seed=number)
        generator = random.Random(number)
        now = 0.0
        while (now := now + generator.expovariate(per_window / HEDGE_WINDOW_S)) < (
            length_s
        ):
            policy.record_request(now)
            requests += 1
            hedges += policy.try_spend(now)
    # The first window has none before it, so that it allows nothing.
    assert 0.6 * ratio <= hedges / requests <= 1.1 * ratio


def test_refund_and_change_of_the_ratio():
    """Guards against a limit that is used up by attempts that were never sent."""
    policy = build_policy(0.1)
    for number in range(200):
        policy.record_request(number / 10)
    spent = sum(policy.try_spend(20.0) for _ in range(99))
    assert spent in (10, 11)
    policy.refund()
    assert policy.try_spend(20.0)
    assert not policy.try_spend(20.0)
    policy.ratio = 0.0
    policy.refund()
    assert not policy.try_spend(20.0)


def test_unused_shares_do_not_accumulate_over_instances():
    """Guards against a burst when all upstreams become slow after a quiet hour."""
    hedges = requests = 0
    for number in range(119):
        policy = build_policy(0.05, seed=number)
        for step in range(600):
            policy.record_request(step / 2)
            requests += step >= 580
        hedges += sum(policy.try_spend(300.0) for _ in range(20))
    assert hedges <= 1.2 * 0.05 * requests
