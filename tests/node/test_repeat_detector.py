"""Detection of requests that callers send again."""

from __future__ import annotations

from verbenacross.node.repeat_detector import LIFETIME_S, RepeatDetector

ROUTE = ("host.example", "/maps/")


def test_request_with_much_less_time_left_is_a_repeat():
    detector = RepeatDetector()

    assert not detector.is_repeat(ROUTE, 4.0, 0.0)
    assert not detector.is_repeat(ROUTE, 3.5, 0.1)
    assert detector.is_repeat(ROUTE, 2.6, 0.2)
    assert not detector.is_repeat(("host.example", "/other/"), 2.6, 0.2)
    assert not detector.is_repeat(ROUTE, None, 0.2)


def test_longest_time_is_forgotten():
    """One caller with an unusually long deadline must not mark all others for good."""
    detector = RepeatDetector()
    detector.is_repeat(ROUTE, 600.0, 0.0)

    assert detector.is_repeat(ROUTE, 4.0, 1.0)
    assert not detector.is_repeat(ROUTE, 4.0, LIFETIME_S + 1.0)
    assert not detector.is_repeat(ROUTE, 3.9, LIFETIME_S + 1.1)


def test_removed_routes_are_forgotten():
    detector = RepeatDetector()
    detector.is_repeat(ROUTE, 4.0, 0.0)

    detector.forget(set())

    assert not detector.is_repeat(ROUTE, 1.0, 0.1)
