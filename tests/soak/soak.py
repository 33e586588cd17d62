"""Runs one seed of the fault soak."""

from __future__ import annotations

import asyncio
import json
import pathlib
import tempfile
import time
from contextlib import AsyncExitStack
from typing import NamedTuple

from .callers import Callers
from .faults import FaultInjector
from .fleet import SoakFleet
from .invariants import count_runs, find_violations
from .kept_connections import KeptCallers, LimitsInjector, find_kept_violations
from .notices import NoticeInjector, find_notice_violations
from .store_returns import StoreReturnInjector

# Time after the last fault until service must be normal, as the users require.
RECOVERY_S = 4.0
NORMAL_SERVICE_S = 1.5


class SeedResult(NamedTuple):
    """Result of one seed; ``report`` lists faults, violations and all log lines."""

    seed: int
    calls: int
    served: int
    faults: int
    violations: list[str]
    report: str


async def run_seed(
    seed: int, length_s: float, *, store_returns: bool = False
) -> SeedResult:
    """Runs one seed, injects faults for ``length_s`` and checks the guarantees.

    With ``store_returns`` the store is also restored from older copies.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with AsyncExitStack() as stack:
            fleet = SoakFleet(stack, pathlib.Path(folder))
            await fleet.open()
            callers, injector = Callers(fleet, seed), FaultInjector(fleet, seed)
            notices = NoticeInjector(fleet, seed)
            returns = StoreReturnInjector(fleet, seed)
            limits = LimitsInjector(fleet, seed)
            kept = KeptCallers(fleet, seed, callers.calls)
            started_at = time.monotonic()
            calling = asyncio.gather(callers.run(), kept.run())
            await asyncio.gather(
                injector.run(length_s),
                notices.run(length_s),
                limits.run(length_s),
                returns.run(length_s if store_returns else 0.0),
            )
            await asyncio.sleep(RECOVERY_S)
            recovered_at = time.monotonic()
            await asyncio.sleep(NORMAL_SERVICE_S)
            callers.stop()
            kept.stop()
            await calling
            violations = [*find_violations(fleet, callers.calls, recovered_at)]
            violations += find_notice_violations(fleet, callers.calls)
            violations += find_kept_violations(
                fleet, kept, callers.calls, count_runs(fleet)
            )
            injected = sorted(
                [
                    *injector.injected,
                    *notices.injected,
                    *returns.injected,
                    *limits.injected,
                ]
            )
            lines = [f"{at - started_at:7.3f} {text}" for at, text in injected]
            lines += [
                f"{start - started_at:7.3f} soak held up for {end - start:.2f} s"
                for start, end in kept.stalls.windows
            ]
            lines += violations
            lines += [
                f"call {call.sent_at - started_at:7.3f} {call}"
                for call in callers.calls
                if call.status != 200
            ]
            lines += [
                f"{node.name} {json.dumps(line)}"
                for node in fleet.site.nodes
                for line in node.lines
            ]
    served = sum(call.status == 200 for call in callers.calls)
    return SeedResult(
        seed,
        len(callers.calls),
        served,
        len(injected),
        violations,
        "\n".join(lines),
    )
