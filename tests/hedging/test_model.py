"""Effect of second attempts on the latencies of a modelled service."""

from __future__ import annotations

import pytest

from measure.hedging import Conditions, run_model

RATIO = 0.1


def compare(fault, load, instances, seed=1):
    """Returns the results without and with second attempts."""
    conditions = Conditions(fault, load, instances, 0.0, seed)
    return run_model(conditions), run_model(conditions._replace(ratio=RATIO))


@pytest.mark.parametrize(("instances", "factor"), [(13, 0.9), (119, 1.0)])
def test_fewer_late_requests_on_slow_upstreams_at_low_load(instances, factor):
    """Guards against second attempts that come too late, or to the wrong upstreams."""
    off, on = compare("slow", 0.3, instances)
    assert on.get_quantile(0.95) < 0.95 * off.get_quantile(0.95)
    assert on.get_quantile(0.99) <= factor * off.get_quantile(0.99)
    assert on.statistics.in_time_share > off.statistics.in_time_share


@pytest.mark.parametrize(("instances", "factor"), [(13, 0.25), (119, 0.6)])
def test_fewer_failures_on_an_upstream_that_hangs(instances, factor):
    """Guards against an upstream that keeps its requests though its probes succeed."""
    off, on = compare("stalled", 0.3, instances)
    assert on.statistics.failed <= factor * off.statistics.failed


@pytest.mark.parametrize("instances", [13, 119])
@pytest.mark.parametrize("fault", ["none", "silent"])
def test_little_harm_where_second_attempts_do_not_help(fault, instances):
    """Guards against load that makes the other requests late."""
    off, on = compare(fault, 0.3, instances)
    assert on.statistics.in_time_share >= off.statistics.in_time_share - 0.01
    assert on.sent <= RATIO * on.statistics.total


@pytest.mark.parametrize(
    ("fault", "load", "instances", "limit"),
    [
        ("none", 1.1, 13, 0.005),
        ("none", 1.1, 119, 0.005),
        ("slow", 1.1, 119, 0.005),
        ("all-slow", 0.3, 13, 0.001),
        ("all-slow", 1.1, 119, 0.001),
    ],
)
def test_off_by_itself_when_capacity_is_short(fault, load, instances, limit):
    """Guards against second attempts that turn an overload into a collapse."""
    on = run_model(Conditions(fault, load, instances, RATIO))
    assert on.sent <= limit * on.statistics.total
