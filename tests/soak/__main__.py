"""Plays many seeds: ``python -m tests.soak --first 1 --seeds 50 --jobs 4``."""

from __future__ import annotations

import argparse
import asyncio
import concurrent.futures
import pathlib
import sys

from .soak import Outcome, play

REPORTS = pathlib.Path("build/soak")


def play_seed(arguments: tuple[int, float]) -> Outcome:
    """Plays a seed in a process of its own."""
    seed, length_s = arguments
    return asyncio.run(play(seed, length_s))


def main() -> int:
    """Plays the seeds; keeps the report of each that broke a promise."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    REPORTS.mkdir(parents=True, exist_ok=True)
    seeds = range(options.first, options.first + options.seeds)
    failed = []
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        for outcome in pool.map(play_seed, [(seed, options.seconds) for seed in seeds]):
            verdict = "kept" if not outcome.violations else "BROKEN"
            print(
                f"seed {outcome.seed}: {verdict}, {outcome.served} of {outcome.calls} "
                f"calls served, {outcome.faults} faults",
                *outcome.violations[:5],
                sep="\n  " if outcome.violations else "",
                flush=True,
            )
            if outcome.violations:
                failed.append(outcome.seed)
                path = REPORTS / f"seed-{outcome.seed}.txt"
                path.write_text(outcome.report)
    print(f"{len(failed)} of {len(seeds)} seeds broke a promise: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
