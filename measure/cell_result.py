"""Figures of one run of one arm in one scenario."""

from __future__ import annotations

from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3
TRANSIT_S = 0.025
US_PER_S = 1_000_000
US_PER_MS = 1_000
HTTP_OK = 200
HTTP_UNAVAILABLE = 503


class LedgerEntry(NamedTuple):
    """A request that an upstream ran, with its times in seconds since the epoch."""

    upstream: str
    size: str
    received: float
    started: float
    finished: float | None


def build_histogram(latencies_s: list[float]) -> Any:
    """Returns a histogram of latencies in microseconds."""
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    for latency_s in latencies_s:
        histogram.record_value(max(LOWEST_US, int(latency_s * US_PER_S)))
    return histogram


def get_percentiles(latencies_s: list[float]) -> dict[str, float]:
    """Returns p50, p99 and p99.9 in milliseconds."""
    if not latencies_s:
        return {"p50": 0.0, "p99": 0.0, "p99.9": 0.0}
    histogram = build_histogram(latencies_s)
    return {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / US_PER_MS
        for percentile in (50, 99, 99.9)
    }


def summarize(
    results: list[dict[str, Any]],
    ledger: dict[str, list[LedgerEntry]],
    slots: int,
    slots_total: int,
    window: tuple[float, float],
    measured_from: float,
) -> dict[str, Any]:
    """Returns the figures of a run.

    ``window`` is the interval for goodput: the completed service time as a share of
    what all slots can do. All other figures cover requests due at ``measured_from`` or
    later.
    """
    completed_work_ms = sum(
        entry["work_ms"]
        for entry in results
        if entry["status"] == HTTP_OK and window[0] <= entry["done"] < window[1]
    )
    results = [entry for entry in results if entry["due"] >= measured_from]
    succeeded = [result for result in results if result["status"] == HTTP_OK]
    short = [entry for entry in succeeded if entry["size"] == "short"]
    latencies = [entry["done"] - entry["due"] for entry in short]
    long_latencies = [
        entry["done"] - entry["due"] for entry in succeeded if entry["size"] == "long"
    ]
    capacity_ms = slots_total * (window[1] - window[0]) * 1e3
    refused = [result for result in results if result["status"] == HTTP_UNAVAILABLE]
    return {
        "requests": len(results),
        "short": get_percentiles(latencies),
        "long": get_percentiles(long_latencies),
        "latencies_s": latencies,
        "answered_share": len(succeeded) / max(1, len(results)),
        "goodput": completed_work_ms / capacity_ms,
        "refused": len(refused),
        "refused_false": count_false_not_run(refused, ledger),
        "failed": len(results) - len(succeeded) - len(refused),
        "not_whole": sum(not entry["whole"] for entry in succeeded),
        "behind_long_s": sum_wait_behind_long(results, ledger, slots),
    }


def count_false_not_run(
    refused: list[dict[str, Any]], ledger: dict[str, list[LedgerEntry]]
) -> int:
    """Returns how many refusals reported "not-run" for a request that did run."""
    return sum(
        entry["execution"] == "not-run" and entry["work"] in ledger for entry in refused
    )


def sum_wait_behind_long(
    results: list[dict[str, Any]], ledger: dict[str, list[LedgerEntry]], slots: int
) -> float:
    """Returns the seconds that short requests waited behind long ones.

    Waiting is weighted by the share of slots that run long requests: it counts fully on
    an upstream whose slots all do. Waiting before the upstream counts as well, less
    ``TRANSIT_S`` for sending.
    """
    long_by_upstream: dict[str, list[LedgerEntry]] = {}
    for result in results:
        if result["size"] == "long":
            for entry in ledger.get(result["work"], ()):
                long_by_upstream.setdefault(entry.upstream, []).append(entry)
    total = 0.0
    for result in results:
        if result["size"] == "long":
            continue
        for entry in ledger.get(result["work"], ())[-1:]:
            runs = long_by_upstream.get(entry.upstream, ())
            waited_before = entry.received - TRANSIT_S
            for run in runs:
                total += overlap(run, entry.received, entry.started) / slots
                total += overlap(run, result["due"], waited_before) / slots
    return total


def overlap(run: LedgerEntry, start: float, end: float) -> float:
    """Returns for how many seconds a run overlaps an interval."""
    finished = end if run.finished is None else run.finished
    return max(0.0, min(finished, end) - max(run.started, start))
