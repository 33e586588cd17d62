"""How soon changes reach instances whose readers hear nothing from the store."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack

import pytest

from tests.feed import test_synchronizer
from tests.feed.test_synchronizer import (
    CHECK_TIMEOUT_S,
    UPDATE_BOUND_S,
    Fleet,
    StoreConnection,
    network,  # noqa: F401
)
from verbenacross.infrastructure.exceptions import StoreUnavailableError

CALL_TIMEOUT_S = 0.8
MS_PER_S = 1_000
# Checks follow each other every half second, watches every three seconds.
MAX_PHASE_S = 3.5
RUNS = 60


class SilentConnection(StoreConnection):
    """An instance's connections to the store, which go unanswered once silent."""

    is_silent = False

    async def read_prefix(self, prefix):
        if self.is_silent:
            await self._time_out(CALL_TIMEOUT_S)
        return await super().read_prefix(prefix)

    async def watch(self, prefix, revision, wait_ms):
        try:
            async with asyncio.timeout(wait_ms / MS_PER_S + CALL_TIMEOUT_S):
                snapshot = await super().watch(prefix, revision, wait_ms)
                if self.is_silent:
                    await asyncio.Event().wait()
        except TimeoutError as error:
            raise StoreUnavailableError("no answer") from error
        return snapshot

    async def check(self):
        if self.is_silent:
            await self._time_out(CHECK_TIMEOUT_S)
        return await super().check()

    async def _time_out(self, timeout_s):
        await asyncio.sleep(timeout_s)
        raise StoreUnavailableError("no answer")


async def measure_propagation(generator, silent_count) -> float:
    """Returns how long the others take for a change after readers went silent."""
    async with AsyncExitStack() as stack:
        fleet = Fleet(stack, 8)
        readers, others = await fleet.settle()
        await asyncio.sleep(generator.uniform(0.0, MAX_PHASE_S))
        for reader in readers[:silent_count]:
            reader.store.is_silent = True
        await asyncio.sleep(max(0.0, generator.uniform(-0.2, 1.0)))
        fleet.register(fleet.members[-1])
        revision = fleet.store.revision
        changed_at = asyncio.get_running_loop().time()
        while any(other.log.revision < revision for other in others):
            await asyncio.sleep(0.01)
        return asyncio.get_running_loop().time() - changed_at


@pytest.mark.parametrize("silent_count", [1, 2])
async def test_change_reaches_instances_whose_readers_hear_nothing(
    monkeypatch, silent_count
):
    """Guards against instances that wait too long for sources without a store."""
    monkeypatch.setattr(test_synchronizer, "StoreConnection", SilentConnection)
    generator = random.Random(silent_count)
    delays_s = [await measure_propagation(generator, silent_count) for _ in range(RUNS)]

    print([round(delay, 2) for delay in sorted(delays_s)])
    assert max(delays_s) < UPDATE_BOUND_S
