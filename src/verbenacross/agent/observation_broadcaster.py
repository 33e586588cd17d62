"""Sends observations of upstreams to the entries and the peers of an agent."""

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
MAX_REPEATED_OBSERVATIONS = 32
# 30 observations of 70 bytes on 6 links are 12.6 KB/s, below the limit of 17 KB/s for
# all control traffic of a node. The burst allows a mass event to be sent at once.
MAX_OBSERVATIONS_PER_SECOND = 30.0
MAX_BURST_OBSERVATIONS = 300.0
# In order of priority: only draining decides whether requests are lost.
BROADCAST_KINDS: tuple[ObservationKind, ...] = ("draining", "ejected", "cold")


class ObservationBroadcaster:
    """Sends all changed observations to entries, and all but load to peers.

    Peers receive at most ``MAX_OBSERVATIONS_PER_SECOND`` after a burst of
    ``MAX_BURST_OBSERVATIONS``. Draining upstreams are repeated every
    ``REPEAT_INTERVAL_S`` for links that were opened later; a peer does not forward a
    repetition that changes nothing in its table.
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
            kind: set() for kind in BROADCAST_KINDS
        }
        self._tokens = MAX_BURST_OBSERVATIONS
        self._refilled_at = clock()
        self._has_pending = asyncio.Event()
        table.changes.subscribe(self._handle_changes)

    async def run(self) -> None:
        """Sends observations to peers until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._flush_pending())
            tasks.create_task(self._repeat())

    def flush(self) -> int:
        """Sends pending observations within the rate limit and returns their number."""
        self._refill_tokens()
        chosen = tuple(self._pop_pending(int(self._tokens)))
        self._tokens -= len(chosen)
        if chosen:
            self._network.broadcast(Observations(chosen))
        return len(chosen)

    def _handle_changes(self, changes: Iterable[Observation]) -> None:
        self._send_to_entries(Observations(tuple(changes)))
        for observation in changes:
            if observation.kind in self._pending:
                self._pending[observation.kind].add(observation.upstream)
                self._has_pending.set()

    def _pop_pending(self, limit: int) -> Iterator[Observation]:
        """Yields current observations of pending upstreams and marks them as sent."""
        for kind in BROADCAST_KINDS:
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

    def _refill_tokens(self) -> None:
        now = self._clock()
        added = (now - self._refilled_at) * MAX_OBSERVATIONS_PER_SECOND
        self._tokens = min(MAX_BURST_OBSERVATIONS, self._tokens + added)
        self._refilled_at = now

    async def _flush_pending(self) -> None:
        while True:
            await self._has_pending.wait()
            self.flush()
            if not any(self._pending.values()):
                self._has_pending.clear()
            await asyncio.sleep(FLUSH_INTERVAL_S)

    async def _repeat(self) -> None:
        while True:
            await asyncio.sleep(REPEAT_INTERVAL_S)
            draining = sorted(
                self._table.iter_observations("draining"), key=lambda item: item.age_ms
            )
            if draining:
                self._network.broadcast(
                    Observations(tuple(draining[:MAX_REPEATED_OBSERVATIONS]))
                )
