import pytest

from tests.routing.builders import build_instance
from verbenacross.routing.load_estimator import LoadEstimator
from verbenacross.routing.upstream_state import UpstreamState


@pytest.fixture
def estimator():
    estimator = LoadEstimator()
    estimator.report_decay_s = 0.1
    return estimator


@pytest.fixture
def state():
    return UpstreamState(build_instance(0))


def test_report_is_corrected_for_requests_sent_since(estimator, state):
    """Guards against a burst to an upstream whose load report predates the burst."""
    state.in_flight = 1
    estimator.apply_report(state, 4, 10.0)
    state.in_flight = 3
    assert estimator.estimate_in_flight(state, 10.0) == pytest.approx(6)


def test_old_report_gives_way_to_the_mean(estimator, state):
    """Guards against choices based on a load report many service times old."""
    other = UpstreamState(build_instance(1))
    for _ in range(200):
        estimator.apply_report(other, 2, 10.0)
    estimator.apply_report(state, 50, 10.0)
    fresh = estimator.estimate_in_flight(state, 10.0)
    old = estimator.estimate_in_flight(state, 10.5)
    assert fresh == pytest.approx(50)
    assert old < 10
    assert old == pytest.approx(estimator.estimate_in_flight(other, 10.5), abs=1)


@pytest.mark.parametrize(
    ("reported", "latency_ratio"), [pytest.param(0, 4.0), pytest.param(60, 1.0)]
)
def test_report_that_contradicts_latency_is_discounted(
    estimator, state, reported, latency_ratio
):
    """Guards against false load reports.

    One upstream reports no load while its responses are slow, the other reports a
    queue while its responses are fast.
    """
    state.latency_ratio = latency_ratio
    for _ in range(12):
        estimator.apply_report(state, reported, 10.0)
        estimator.update_report_trust(state, 6)
    assert state.report_trust < 0.05
    for _ in range(40):
        state.latency_ratio = 1.0
        estimator.apply_report(state, 3, 10.0)
        estimator.update_report_trust(state, 6)
    assert state.report_trust > 0.9


def test_without_reports_other_entries_are_assumed_alike(estimator, state):
    """Guards concurrency limits in services whose upstreams send no load reports."""
    state.in_flight = 2
    estimator.assume_equal_load([state], 5)
    assert estimator.estimate_in_flight(state, 10.0) == pytest.approx(10)
