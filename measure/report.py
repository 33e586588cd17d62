"""Merges the figures of runs and formats them as a table."""

from __future__ import annotations

from typing import Any

from .cell_result import get_percentiles

COLUMNS = (
    "scenario         arm                    n    p50    p99  p99.9   long  answ"
    "  good  ref false fail  behind  x_cent  x_rr"
)


def merge_seeds(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Returns one row for each scenario and arm, merged over all seeds."""
    groups: dict[tuple[str, str], list[dict[str, Any]]] = {}
    for row in rows:
        groups.setdefault((row["scenario"], row["arm"]), []).append(row)
    return [
        merge_group(scenario, arm, group) for (scenario, arm), group in groups.items()
    ]


def merge_group(scenario: str, arm: str, group: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the figures of one scenario and arm, merged over its seeds."""
    latencies = [value for row in group for value in row["latencies_s"]]
    merged: dict[str, Any] = {
        "scenario": scenario,
        "arm": arm,
        "seeds": len(group),
        "short": get_percentiles(latencies),
        "long_p99": max(row["long"]["p99"] for row in group),
        "p99_of_seeds": [row["short"]["p99"] for row in group],
        "probes_per_second": group[0]["probes_per_second"],
    }
    for name in ("requests", "refused", "refused_false", "failed", "not_whole"):
        merged[name] = sum(row[name] for row in group)
    merged["behind_long_s"] = sum(row["behind_long_s"] for row in group)
    for name in ("goodput", "answered_share"):
        merged[name] = sum(row[name] for row in group) / len(group)
    return merged


def add_ratios(merged: list[dict[str, Any]]) -> None:
    """Adds each arm's figures relative to the central queue and to round robin."""
    by_arm = {(row["scenario"], row["arm"]): row for row in merged}
    for row in merged:
        for other in ("central", "round_robin"):
            base = by_arm.get((row["scenario"], other))
            if base is None or not base["short"]["p99"]:
                continue
            row[f"p99_to_{other}"] = row["short"]["p99"] / base["short"]["p99"]
            if base["behind_long_s"]:
                share = row["behind_long_s"] / base["behind_long_s"]
                row[f"behind_to_{other}"] = share


def format_table(merged: list[dict[str, Any]]) -> str:
    """Returns the table; latencies of short requests are in milliseconds."""
    lines = [COLUMNS]
    for row in merged:
        short = row["short"]
        lines.append(
            f"{row['scenario']:<16} {row['arm']:<20} {row['requests']:>4} "
            f"{short['p50']:>6.0f} {short['p99']:>6.0f} {short['p99.9']:>6.0f} "
            f"{row['long_p99']:>6.0f} {row['answered_share']:>5.3f} "
            f"{row['goodput']:>5.3f} {row['refused']:>4} {row['refused_false']:>5} "
            f"{row['failed']:>4} {row['behind_long_s']:>7.2f} "
            f"{row.get('p99_to_central', 0):>7.2f} "
            f"{row.get('p99_to_round_robin', 0):>5.2f}"
        )
    return "\n".join(lines)
