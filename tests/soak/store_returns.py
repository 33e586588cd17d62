"""A store that is lost and returns from a copy that is some seconds old."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from .invariants import STORE_CONNECTED_S

if TYPE_CHECKING:
    from .fleet import SoakFleet, SoakUpstream

# Until the first copy, and between a return and the next copy.
MAX_INTERVAL_S = 2.0
MIN_AGE_S = 1.0
MAX_AGE_S = 3.0
MIN_OUTAGE_S = 0.7
MAX_OUTAGE_S = 1.3
# Records of others that are written between the copy and the loss.
MIN_OTHER_WRITES = 20
MAX_OTHER_WRITES = 40
# Operator and upstreams write again within this time after the return.
MAX_REWRITE_DELAY_S = 1.5
# A leaving upstream reports again once all instances have been connected to the store
# for the required time, so that the bound on its requests applies.
REPEAT_DELAY_S = STORE_CONNECTED_S + 0.2
# Upstreams that neither leave nor drain; one of them may start to drain.
MIN_STAYING = 3


class StoreReturnInjector:
    """Restores the store from older copies and writes again what was lost.

    It has a random generator of its own, so that the faults of a seed stay the same.
    """

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self.injected: list[tuple[float, str]] = []
        self._fleet = fleet
        self._generator = random.Random(f"store-returns-{seed}")
        self._other_writes = 0

    async def run(self, length_s: float) -> None:
        """Restores the store repeatedly for ``length_s``.

        Ends when the last repeated reports have been written.
        """
        end = time.monotonic() + length_s
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                await asyncio.sleep(self._generator.uniform(0, MAX_INTERVAL_S))
                await self._return_from_copy()
                await self._write_again()
                group.create_task(self._report_again())

    def _record(self, text: str) -> None:
        self.injected.append((time.monotonic(), text))

    async def _return_from_copy(self) -> None:
        store = self._fleet.site.store
        saved = store.make_copy()
        self._record(f"copy of the store at revision {saved.revision}")
        age_s = self._generator.uniform(MIN_AGE_S, MAX_AGE_S)
        count = self._generator.randint(MIN_OTHER_WRITES, MAX_OTHER_WRITES)
        for _ in range(count):
            # Spread over the time, so that the instances know most of them.
            await asyncio.sleep(age_s / count)
            self._other_writes += 1
            await store.put(f"elsewhere/{self._other_writes}", self._other_writes)
        self._record(f"store lost at revision {store.revision}")
        windows = {
            name: outages.open(time.monotonic())
            for name, outages in self._fleet.store_outages.items()
        }
        self._fleet.is_store_present.clear()
        store.go_away()
        await asyncio.sleep(self._generator.uniform(MIN_OUTAGE_S, MAX_OUTAGE_S))
        await store.restore(saved)
        self._fleet.is_store_present.set()
        for name, window in windows.items():
            self._fleet.store_outages[name].close(window)
        self._record(f"store restored from revision {saved.revision}")

    async def _write_again(self) -> None:
        """Lets operator and upstreams write, in any order and within their time."""
        end = time.monotonic() + MAX_REWRITE_DELAY_S
        writers = [self._write_configuration()]
        writers += [self._report(upstream) for upstream in self._fleet.upstreams]
        self._generator.shuffle(writers)
        for index, writer in enumerate(writers):
            pause_s = (end - time.monotonic()) / (len(writers) - index)
            await asyncio.sleep(self._generator.uniform(0, max(0.0, pause_s)))
            await writer
        await self._fleet.publish_configuration()
        self._record(f"written again, then version {self._fleet.version}")

    async def _write_configuration(self) -> None:
        await self._fleet.write_configuration(self._fleet.version)

    async def _report(self, upstream: SoakUpstream) -> None:
        """Writes the entry of an upstream again; does nothing for a removed one."""
        state = self._fleet.wanted_states[upstream.id]
        if state is not None:
            await self._fleet.register_upstream(upstream, state)

    async def _report_again(self) -> None:
        """Writes each report of draining again and removes what the copy restored.

        The store removes the entry of a server that no longer reports.
        """
        await asyncio.sleep(REPEAT_DELAY_S)
        for upstream in [*self._fleet.upstreams]:
            if upstream.id not in self._fleet.draining_since:
                continue
            if self._fleet.wanted_states[upstream.id] is None:
                await self._fleet.remove_upstream(upstream)
            else:
                await self._fleet.register_upstream(upstream, "draining")
            self._fleet.drain_reports.append((upstream.id, time.monotonic()))
        self._record("leaving upstreams have reported again")
        await self._drain_another()

    async def _drain_another(self) -> None:
        """Lets one more upstream report that it drains, and starts another one."""
        staying = [
            upstream
            for upstream in self._fleet.upstreams
            if upstream.id not in self._fleet.draining_since and not upstream.is_leaving
        ]
        if len(staying) < MIN_STAYING:
            return
        upstream = self._generator.choice(staying)
        await self._fleet.register_upstream(upstream, "draining")
        self._fleet.draining_since[upstream.id] = time.monotonic()
        self._record(f"drain {upstream.id} after the return")
        await self._fleet.add_upstream(f"u{len(self._fleet.upstreams)}")
