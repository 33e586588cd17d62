"""Spreads observations between entries, this agent and its peers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from ..protocol.messages import Observations

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from ..peers import PeerNetwork
    from ..protocol.messages import Message, Observation, ObservationKind
    from ..upstreams.observation_table import ObservationTable

FLUSH_INTERVAL_S = 0.02
REPEAT_INTERVAL_S = 2.0
MAX_REPEATED = 32
# 30 observations of 70 bytes on 6 links are 12.6 KB/s, below the limit of 17 KB/s for
# all control traffic of a node. The burst lets a mass event out at once.
MAX_PER_SECOND = 30.0
MAX_BURST = 300.0
# Draining first: only it decides whether work is lost.
SPREAD_KINDS: tuple[ObservationKind, ...] = ("draining", "ejected", "cold")


class ObservationSpreader:
    """Sends news of the table to entries, and state but not load to peers.

    Peers get at most ``MAX_PER_SECOND`` observations after a burst of ``MAX_BURST``.
    The draining upstreams are repeated every ``REPEAT_INTERVAL_S`` for links that
    opened since; a repetition that is no news to a peer goes no further.
    """

    def __init__(
        self,
        table: ObservationTable,
        network: PeerNetwork,
        send_to_entries: Callable[[Message], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._table = table
        self._network = network
        self._send_to_entries = send_to_entries
        self._clock = clock
        self._pending: dict[ObservationKind, set[str]] = {
            kind: set() for kind in SPREAD_KINDS
        }
        self._tokens = MAX_BURST
        self._filled_at = clock()
        self._wake = asyncio.Event()
        table.changes.subscribe(self._take_news)

    async def run(self) -> None:
        """Sends to peers until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._flush_pending())
            tasks.create_task(self._repeat())

    def flush(self) -> int:
        """Sends pending observations within the rate and returns their number."""
        self._fill_tokens()
        chosen = tuple(self._take_pending(int(self._tokens)))
        self._tokens -= len(chosen)
        if chosen:
            self._network.broadcast(Observations(chosen))
        return len(chosen)

    def _take_news(self, news: Iterable[Observation]) -> None:
        self._send_to_entries(Observations(tuple(news)))
        for observation in news:
            if observation.kind in self._pending:
                self._pending[observation.kind].add(observation.upstream)
                self._wake.set()

    def _take_pending(self, limit: int) -> Iterator[Observation]:
        """Yields what the table holds now of the pending upstreams."""
        for kind in SPREAD_KINDS:
            pending = self._pending[kind]
            if not pending:
                continue
            for observation in self._table.iter_observations(kind):
                if limit <= 0:
                    return
                if observation.upstream in pending:
                    pending.remove(observation.upstream)
                    limit -= 1
                    yield observation
            pending.clear()

    def _fill_tokens(self) -> None:
        now = self._clock()
        added = (now - self._filled_at) * MAX_PER_SECOND
        self._tokens = min(MAX_BURST, self._tokens + added)
        self._filled_at = now

    async def _flush_pending(self) -> None:
        while True:
            await self._wake.wait()
            self.flush()
            if not any(self._pending.values()):
                self._wake.clear()
            await asyncio.sleep(FLUSH_INTERVAL_S)

    async def _repeat(self) -> None:
        while True:
            await asyncio.sleep(REPEAT_INTERVAL_S)
            draining = sorted(
                self._table.iter_observations("draining"), key=lambda item: item.age_ms
            )
            if draining:
                self._network.broadcast(Observations(tuple(draining[:MAX_REPEATED])))
