"""Times calls alternately through an entry and direct, on persistent connections."""

from __future__ import annotations

import asyncio
import json
import sys
import time

import aiohttp

MS_PER_S = 1_000
WARM_UP_CALLS = 30


async def run(entry: str, direct: str, service: str, calls: int) -> None:
    """Sends the calls and prints their latencies in milliseconds as JSON."""
    times: dict[str, list[float]] = {"entry": [], "direct": []}
    headers = {"X-Work-Ms": "0"}
    async with aiohttp.ClientSession() as session:
        for number in range(calls + WARM_UP_CALLS):
            for name, url in (("entry", entry), ("direct", direct)):
                started = time.perf_counter()
                async with session.get(
                    f"{url}/{service}/short", headers=headers
                ) as response:
                    await response.read()
                if number >= WARM_UP_CALLS:
                    times[name].append((time.perf_counter() - started) * MS_PER_S)
    print(json.dumps(times))


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], sys.argv[2], sys.argv[3], int(sys.argv[4])))
