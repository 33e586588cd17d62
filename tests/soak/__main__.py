"""Soak with many seeds: ``python -m tests.soak --first 1 --seeds 50 --jobs 4``."""

from __future__ import annotations

import argparse
import asyncio
import concurrent.futures
import pathlib
import sys

from .soak import SeedResult, run_seed

REPORT_DIRECTORY = pathlib.Path("build/soak")


def run_seed_in_process(arguments: tuple[int, float, bool]) -> SeedResult:
    """Runs one seed in a worker process."""
    seed, length_s, store_returns = arguments
    return asyncio.run(run_seed(seed, length_s, store_returns=store_returns))


def main() -> int:
    """Runs the seeds; writes a report for each that violated an invariant."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument(
        "--store-returns",
        action="store_true",
        help="also restore the store from older copies",
    )
    options = parser.parse_args()
    REPORT_DIRECTORY.mkdir(parents=True, exist_ok=True)
    seeds = range(options.first, options.first + options.seeds)
    failed = []
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        for result in pool.map(
            run_seed_in_process,
            [(seed, options.seconds, options.store_returns) for seed in seeds],
        ):
            verdict = "passed" if not result.violations else "FAILED"
            print(
                f"seed {result.seed}: {verdict}, {result.served} of {result.calls} "
                f"calls served, {result.faults} faults",
                *result.violations[:5],
                sep="\n  " if result.violations else "",
                flush=True,
            )
            if result.violations:
                failed.append(result.seed)
                path = REPORT_DIRECTORY / f"seed-{result.seed}.txt"
                path.write_text(result.report)
    print(f"{len(failed)} of {len(seeds)} seeds violated an invariant: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
