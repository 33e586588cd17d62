"""Decides how this instance learns the store's records."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import logbook

from .members import Member, find_readers, order_sources
from .subscription import Subscription

if TYPE_CHECKING:
    from collections.abc import Callable

    from .publisher import Publisher
    from .record_log import RecordLog
    from .store_reader import StoreReader

STEP_S = 0.1
# Two sources, since one of them may be cut off from the store without knowing it yet.
SUBSCRIPTIONS = 2
# A source that failed is not asked again for so long, in seconds.
AVOID_S = 2.0
# The same for a seed, which may have started a moment later than this instance.
SEED_PAUSE_S = 0.3
# An instance without a fresh source reads the store itself after this time, in seconds.
# Peers that begin to read for it, or find a silent connection, are in touch sooner.
ALONE_S = 0.6
# A reader that lost the store looks for a source after this time, in seconds, unless
# only its connection had gone silent.
READER_ALONE_S = 0.3
# As ALONE_S, when the whole system starts for the first time. Nobody calls yet, and an
# instance that is a seed has read the store by then.
FIRST_START_ALONE_S = 1.0
# A reader whose last subscriber left keeps reading for so long, in seconds: a
# subscriber whose connection was reset is back by then.
LINGER_S = 1.0

logger = logbook.Logger("verbenacross.feed.synchronizer")


class Synchronizer:
    """Decides how this instance learns the store's records.

    The first instance of each failure domain reads the store, and so does each one that
    has subscribers or lacks a fresh source. All others subscribe to two of these. While
    no instance is known, seeds are asked, and ``is_first_start`` tells that these are
    about to read the store.
    ``on_return`` is called when the store is back after nobody could tell of it.
    """

    def __init__(
        self,
        own: Member,
        seeds: tuple[str, ...],
        reader: StoreReader,
        publisher: Publisher,
        log: RecordLog,
        get_members: Callable[[], list[Member]],
        on_return: Callable[[], None],
        *,
        is_first_start: bool,
    ) -> None:
        self._own = own
        self.set_seeds(seeds)
        self._reader = reader
        reader.on_contact = self.note_contact
        self._publisher = publisher
        self._log = log
        self._get_members = get_members
        self._on_return = on_return
        self._reading: asyncio.Task[None] | None = None
        self._subscriptions: dict[Subscription, asyncio.Task[None]] = {}
        self._avoided: dict[str, float] = {}
        # When the store was last in touch with this instance itself.
        self._read_at = -float("inf")
        # When it last was so with any source.
        self._fresh_at = -float("inf")
        if is_first_start and self._seeds and own.address not in seeds:
            self._fresh_at = time.monotonic() + FIRST_START_ALONE_S - ALONE_S

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Sets the addresses that are asked while no member is known."""
        self._seeds = [seed for seed in seeds if seed != self._own.address]

    def is_fresh(self) -> bool:
        """Returns whether the records are as the store has them, but for moments."""
        return self._reader.is_fresh() or any(
            subscription.is_fresh() for subscription in self._subscriptions
        )

    async def run(self) -> None:
        """Keeps reading or subscribing until cancelled."""
        try:
            while True:
                self._step(time.monotonic())
                await asyncio.sleep(STEP_S)
        finally:
            self._stop_reading()
            for task in self._subscriptions.values():
                task.cancel()

    def _step(self, now: float) -> None:
        if self._reader.is_fresh():
            self._read_at = now
        if self.is_fresh():
            self._fresh_at = now
        members = self._get_members()
        self._update_subscriptions(members, now)
        if self._is_reader(members, now):
            self._start_reading()
        else:
            self._stop_reading()

    def note_contact(self) -> None:
        """Takes that a source is in touch with the store again, before its records."""
        if not self.is_fresh() and self._log.revision:
            self._on_return()
        # Subscribers need not look for another source.
        self._publisher.wake()

    def _is_reader(self, members: list[Member], now: float) -> bool:
        if self._own.instance in {reader.instance for reader in find_readers(members)}:
            return True
        publisher = self._publisher
        if publisher.subscribers or now - publisher.last_subscriber_at < LINGER_S:
            return True
        if self._reading is None:
            return now - self._fresh_at > ALONE_S
        return not any(source.is_fresh() for source in self._subscriptions)

    def _start_reading(self) -> None:
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._reader.run())
            logger.info("reading the store", extra={"revision": self._log.revision})

    def _stop_reading(self) -> None:
        if self._reading is not None:
            self._reading.cancel()
            self._reading = None
            extra = {"sources": [source.peer for source in self._subscriptions]}
            logger.info("learning from peers", extra=extra)

    def _update_subscriptions(self, members: list[Member], now: float) -> None:
        for subscription in [*self._subscriptions]:
            if subscription.failed:
                self._subscriptions.pop(subscription)
            is_lost = subscription.is_peer_lost or subscription.is_out_of_touch()
            if is_lost:
                pause_s = SEED_PAUSE_S if subscription.peer in self._seeds else AVOID_S
                self._avoided[subscription.peer] = now + pause_s
        wanted = self._find_sources(members, now)
        used = {subscription.peer for subscription in self._subscriptions}
        for member in wanted:
            if member.instance not in used:
                self._subscribe(member)
        self._drop_surplus({member.instance for member in wanted})

    def _drop_surplus(self, wanted: set[str]) -> None:
        """Ends subscriptions that better ones have replaced."""
        fresh = {
            subscription.peer
            for subscription in self._subscriptions
            if subscription.is_fresh()
        }
        if not wanted <= fresh:
            return
        for subscription in [*self._subscriptions]:
            if subscription.peer not in wanted:
                self._subscriptions.pop(subscription).cancel()

    def _find_sources(self, members: list[Member], now: float) -> list[Member]:
        seeds = [
            Member(seed, seed, "")
            for seed in self._seeds
            if now >= self._avoided.get(seed, 0.0)
        ]
        if not members:
            return [] if self._reader.is_fresh() else seeds
        readers = {reader.instance for reader in find_readers(members)}
        is_reader = self._own.instance in readers
        if is_reader and now - self._read_at <= READER_ALONE_S:
            return []
        sources = [
            member
            for member in order_sources(members, self._own)
            if now >= self._avoided.get(member.instance, 0.0)
        ]
        # Seeds may be instances that were not known yet when the store was lost.
        return [*sources, *seeds][:SUBSCRIPTIONS]

    def _subscribe(self, member: Member) -> None:
        subscription = Subscription(
            self._own.instance,
            member.instance,
            member.address,
            self._log,
            self.note_contact,
        )
        self._subscriptions[subscription] = asyncio.create_task(subscription.run())
