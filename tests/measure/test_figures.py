import pytest

from measure.cell_result import TRANSIT_S, LedgerEntry, summarize
from measure.scenario import DEPLOYMENTS, SLOTS, Workload
from measure.schedule import build_schedule


def build_result(work, due, done, status=200, execution="", size="short"):
    return {
        "work": work,
        "size": size,
        "due": due,
        "done": done,
        "work_ms": 100.0,
        "status": status,
        "execution": execution,
        "whole": True,
    }


def test_wait_behind_long_work_and_false_refusals_are_counted():
    """The two figures computed from the upstreams' ledgers are correct."""
    results = [
        build_result("long", 0.0, 6.0, size="long"),
        build_result("waits", 1.0, 3.0),
        build_result("ran", 1.0, 1.1, 503, "not-run"),
        build_result("refused", 1.0, 1.1, 503, "not-run"),
    ]
    ledger = {
        "long": [LedgerEntry("u0", "long", 0.0, 0.0, 6.0)],
        "waits": [LedgerEntry("u0", "short", 1.0 + TRANSIT_S, 2.5, 2.9)],
        "ran": [LedgerEntry("u1", "short", 1.0, 1.0, None)],
    }
    figures = summarize(results, ledger, 6, 12, (0.0, 10.0), 0.0)
    assert figures["behind_long_s"] == pytest.approx((1.5 - TRANSIT_S) / 6)
    assert figures["refused"] == 2
    assert figures["refused_false"] == 1
    assert figures["goodput"] == pytest.approx(0.2 / 120)


@pytest.mark.parametrize("peak_factor", [1.0, 4.0])
def test_schedule_offers_the_stated_work(peak_factor):
    """The schedule's offered load must match the scenario's utilization."""
    workload = Workload(("clause-registry",), utilization=0.2, peak_factor=peak_factor)
    schedule = build_schedule(workload, DEPLOYMENTS["vn-north"], 400.0, 1)
    window = [arrival for arrival in schedule if 200 <= arrival.due_s < 280]
    offered_s = sum(arrival.work_ms for arrival in window) / 1_000
    assert offered_s == pytest.approx(0.2 * peak_factor * 15 * SLOTS * 80, rel=0.1)
