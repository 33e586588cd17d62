"""Upstreams that fail lose their work and get it back gently."""

from __future__ import annotations

from verbenacross.balancing.ejection import (
    FAILURES_IN_ROW,
    LONGEST_EJECTION_S,
    is_on_trial,
    note_failure,
    note_success,
)
from verbenacross.balancing.tracked_upstream import TrackedUpstream

from .builders import build_upstream


def test_failures_in_a_row_eject():
    tracked = TrackedUpstream(build_upstream("u"), 0.0)

    ejected = [note_failure(tracked, 0.1 * n) for n in range(FAILURES_IN_ROW)]

    assert ejected == [False] * (FAILURES_IN_ROW - 1) + [True]
    assert tracked.ejected_until > 0.1 * FAILURES_IN_ROW


def test_one_failure_among_good_answers_does_not_eject():
    tracked = TrackedUpstream(build_upstream("u"), 0.0)

    for number in range(100):
        if number % 5 == 0:
            assert not note_failure(tracked, float(number))
        else:
            note_success(tracked, float(number))


def test_next_ejection_is_longer_but_bounded():
    tracked = TrackedUpstream(build_upstream("u"), 0.0)
    now = 0.0
    lengths = []
    for _ in range(8):
        while not note_failure(tracked, now):
            pass
        lengths.append(tracked.ejected_until - now)
        now = tracked.ejected_until + 0.01

    assert lengths == sorted(lengths)
    assert lengths[-1] <= LONGEST_EJECTION_S


def test_trial_gets_one_request_at_a_time():
    tracked = TrackedUpstream(build_upstream("u"), 0.0)
    while not note_failure(tracked, 0.0):
        pass
    now = tracked.ejected_until + 0.01

    assert not is_on_trial(tracked)
    tracked.note_send(now)
    assert is_on_trial(tracked)
    note_success(tracked, now)
    assert not is_on_trial(tracked)
