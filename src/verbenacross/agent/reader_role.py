"""Decides whether this agent reads the store."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any

import logbook

from ..membership import choose_readers
from ..membership.rendezvous import READER_ROLE, rank_members
from .store_reader import StoreReader

if TYPE_CHECKING:
    from ..infrastructure.key_value_store import KeyValueStore
    from ..peers import AgentNetwork
    from ..policy import TableProgress
    from ..settings import AgentSettings

CHECK_INTERVAL_S = 0.1
MIN_ISOLATION_S = 1.0
MAX_ISOLATION_S = 2.0
PEER_GRACE_S = 2.0

logger = logbook.Logger("verbenacross.agent.reader_role")


class ReaderRole:
    """Runs a ``StoreReader`` while this agent is a reader of its failure domain.

    An agent without peers also reads, after a random delay when peers may exist, so
    that instances that start together do not all read the store.
    """

    def __init__(
        self,
        settings: AgentSettings,
        store: KeyValueStore,
        network: AgentNetwork,
        progress: TableProgress,
    ) -> None:
        self._settings = settings
        self._network = network
        self._progress = progress
        self.reader = StoreReader(store, progress, self._complete, self._is_first)
        self.is_reading = False
        self.list_is_known = False
        self._started = time.monotonic()
        self._isolated_since: float | None = self._started
        self._isolation_s = random.uniform(MIN_ISOLATION_S, MAX_ISOLATION_S)
        self._paused = 0.0
        self._readers: set[str] = set()
        self._chosen_version = -1
        self._unconfirmed: int | None = None
        network.pauses.subscribe(self._drop)

    async def run(self) -> None:
        """Reads the store while the role is held."""
        task: asyncio.Task[None] | None = None
        try:
            while True:
                self.is_reading = self._should_read(time.monotonic())
                if self.is_reading and task is None:
                    logger.info("reads the store")
                    task = asyncio.create_task(self.reader.run())
                if task is not None and (not self.is_reading or task.done()):
                    task.cancel()
                    await asyncio.gather(task, return_exceptions=True)
                    task = None
                self._confirm()
                await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            if task is not None:
                task.cancel()

    def _should_read(self, now: float) -> bool:
        has_heard = self._network.has_heard_since(self._paused)
        if now < self._paused + MAX_ISOLATION_S and not has_heard:
            return False
        if not self._network.is_isolated():
            self._isolated_since = None
            return self._is_chosen()
        if self._isolated_since is None:
            self._isolated_since = now
            self._isolation_s = random.uniform(MIN_ISOLATION_S, MAX_ISOLATION_S)
        is_alone = self.list_is_known and not self._network.has_candidates()
        return is_alone or now - self._isolated_since >= self._isolation_s

    def _is_chosen(self) -> bool:
        version = self._network.members.version
        if self._chosen_version != version:
            self._chosen_version = version
            alive = self._network.get_alive()
            count = self._settings.readers_per_failure_domain
            self._readers = choose_readers(alive, count)
        return self._settings.instance in self._readers

    def _is_first(self) -> bool:
        first = rank_members(self._network.get_alive(), READER_ROLE)[0]
        return first.instance == self._settings.instance

    def _complete(self, revision: int) -> None:
        self._unconfirmed = revision
        self._confirm()

    def _confirm(self) -> None:
        """Raises the watermark to what was read, once peers had a chance to object.

        The first read of a new agent may be older than what is in force elsewhere, so
        it does not count before a peer has sent its records.
        """
        if self._unconfirmed is None:
            return
        has_waited = time.monotonic() - self._started >= PEER_GRACE_S
        is_alone = self.list_is_known and not self._network.has_candidates()
        is_consulted = self._network.records.is_consulted()
        if self._progress.synchronized or has_waited or is_alone or is_consulted:
            revision, self._unconfirmed = self._unconfirmed, None
            self._progress.raise_to(revision)

    def _drop(self, now: Any) -> None:
        self._paused = float(now)
        self._isolated_since = None
