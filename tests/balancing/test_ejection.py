"""Ejection of failing upstreams and their gradual readmission."""

from __future__ import annotations

from verbenacross.balancing.ejection import (
    CONSECUTIVE_FAILURE_LIMIT,
    MAX_EJECTION_S,
    has_trial_in_flight,
    record_failure,
    record_success,
)
from verbenacross.balancing.tracked_upstream import TrackedUpstream

from .builders import build_upstream


def test_failures_in_a_row_eject():
    tracked = TrackedUpstream(build_upstream("u"), 0.0)

    ejected = [
        record_failure(tracked, 0.1 * n) for n in range(CONSECUTIVE_FAILURE_LIMIT)
    ]

    assert ejected == [False] * (CONSECUTIVE_FAILURE_LIMIT - 1) + [True]
    assert tracked.ejected_until > 0.1 * CONSECUTIVE_FAILURE_LIMIT


def test_one_failure_among_good_answers_does_not_eject():
    tracked = TrackedUpstream(build_upstream("u"), 0.0)

    for number in range(100):
        if number % 5 == 0:
            assert not record_failure(tracked, float(number))
        else:
            record_success(tracked, float(number))


def test_next_ejection_is_longer_but_bounded():
    tracked = TrackedUpstream(build_upstream("u"), 0.0)
    now = 0.0
    lengths = []
    for _ in range(8):
        while not record_failure(tracked, now):
            pass
        lengths.append(tracked.ejected_until - now)
        now = tracked.ejected_until + 0.01

    assert lengths == sorted(lengths)
    assert lengths[-1] <= MAX_EJECTION_S


def test_trial_gets_one_request_at_a_time():
    tracked = TrackedUpstream(build_upstream("u"), 0.0)
    while not record_failure(tracked, 0.0):
        pass
    now = tracked.ejected_until + 0.01

    assert not has_trial_in_flight(tracked)
    tracked.record_attempt(now)
    assert has_trial_in_flight(tracked)
    record_success(tracked, now)
    assert not has_trial_in_flight(tracked)
