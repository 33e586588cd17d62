"""Selects the sources from which this instance receives the store's records."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

import logbook

from ..stable_hash import hash_text
from .members import Member, order_sources, select_readers, spread
from .subscription import Subscription

if TYPE_CHECKING:
    from collections.abc import Callable

    from .publisher import Publisher
    from .record_log import RecordLog
    from .store_reader import StoreReader

UPDATE_INTERVAL_S = 0.1
# A source that sends the records, and a standby that replaces it at once.
SUBSCRIPTION_COUNT = 2
# A source that failed is not tried again for this time, in seconds.
SOURCE_RETRY_DELAY_S = 2.0
# The same for a seed, which may start slightly later than this instance.
SEED_RETRY_DELAY_S = 0.3
# An instance without a fresh source reads the store itself after this time, in seconds.
# A peer that starts to read the store for it, or replaces a connection that no longer
# responds, is connected sooner.
DIRECT_READ_DELAY_S = 0.6
# Instances that lose their sources at the same moment are spread over this time, in
# seconds: those that read first register as sources of the others.
DIRECT_READ_SPREAD_S = 0.4
# A reader that lost the store subscribes to peers after this time, in seconds, unless
# only its connection stopped responding and has been replaced by then.
READER_FALLBACK_DELAY_S = 0.3
# As DIRECT_READ_DELAY_S, when the whole system starts for the first time. There are no
# requests yet, and the seeds have read the store by then.
FIRST_START_READ_DELAY_S = 1.0
# Unless this instance has failed to reach the store itself, the store counts as away
# only once no source has been fresh for this time, in seconds. Shorter outages let no
# entry of an upstream expire, and an instance that only lost its sources has found
# another one or reads the store itself by then.
MIN_OUTAGE_S = 1.5
# A reader whose last subscriber disconnected keeps reading for this time, in seconds: a
# subscriber whose connection was reset has reconnected by then.
IDLE_READER_TIMEOUT_S = 1.0

logger = logbook.Logger("verbenacross.feed.synchronizer")


class Synchronizer:
    """Reads the store or subscribes to peers, so that the local records stay fresh.

    One member of each failure domain reads the store, and so does each instance that
    has subscribers or lacks a fresh source. All others receive the records from one of
    these and subscribe to a second one as a standby. While no member is known, the
    seeds are used as sources. ``is_first_start`` means that the whole system starts for
    the first time, so the seeds are about to read the store.
    ``on_store_recovered`` is called before the first records are merged after an outage
    of the store.
    """

    def __init__(
        self,
        own: Member,
        seeds: tuple[str, ...],
        reader: StoreReader,
        publisher: Publisher,
        log: RecordLog,
        get_members: Callable[[], list[Member]],
        on_store_recovered: Callable[[], None],
        *,
        is_first_start: bool,
    ) -> None:
        self._started_at = time.monotonic()
        self._own = own
        self.set_seeds(seeds)
        self._reader = reader
        reader.on_connected = self.handle_connected
        # Subscribers look for another source at once.
        reader.on_lost = publisher.notify_subscribers
        self._publisher = publisher
        self._log = log
        self._get_members = get_members
        self._on_store_recovered = on_store_recovered
        self._read_task: asyncio.Task[None] | None = None
        self._subscriptions: dict[Subscription, asyncio.Task[None]] = {}
        self._retry_at: dict[str, float] = {}
        # When this instance's own reader was last fresh.
        self._reader_fresh_at = -float("inf")
        # When any source, including the own reader, was last fresh.
        self._fresh_at = -float("inf")
        if is_first_start and self._seeds and own.address not in seeds:
            self._fresh_at = (
                time.monotonic() + FIRST_START_READ_DELAY_S - DIRECT_READ_DELAY_S
            )

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Sets the addresses that are used as sources while no member is known."""
        self._seeds = [seed for seed in seeds if seed != self._own.address]

    def is_fresh(self) -> bool:
        """Returns whether the records match the store, apart from short delays."""
        return self._reader.is_fresh() or self._has_fresh_source()

    def get_staleness_s(self) -> float:
        """Returns for how many seconds the records may not match the store.

        Returns 0 while they do.
        """
        return 0.0 if self.is_fresh() else time.monotonic() - self._fresh_at

    def is_source(self) -> bool:
        """Returns whether this instance reads the store because no source is fresh."""
        return self._reader.is_fresh() and not self._has_fresh_source()

    def count_instances(self) -> int:
        """Returns how many instances receive the records through this one.

        Includes this instance unless it receives them from another one.
        """
        return self._publisher.receiver_count + (not self._has_fresh_source())

    def describe_sources(self) -> list[dict[str, Any]]:
        """Returns the instances that this one subscribes to, for the state dump."""
        return [
            {
                "peer": subscription.peer,
                "is_standby": subscription.is_standby,
                "is_fresh": subscription.is_fresh(),
            }
            for subscription in self._subscriptions
        ]

    def _has_fresh_source(self) -> bool:
        return any(
            subscription.is_fresh() and not subscription.is_standby
            for subscription in self._subscriptions
        )

    async def run(self) -> None:
        """Updates the reader and the subscriptions periodically until cancelled."""
        try:
            while True:
                self._update(time.monotonic())
                await asyncio.sleep(UPDATE_INTERVAL_S)
        finally:
            self._stop_reading()
            for task in self._subscriptions.values():
                task.cancel()

    def _update(self, now: float) -> None:
        if self._reader.is_fresh():
            self._reader_fresh_at = now
        if self.is_fresh():
            self._fresh_at = now
        members = self._get_members()
        self._update_subscriptions(members, now)
        if self._should_read(members, now):
            self._start_reading()
        else:
            self._stop_reading()

    def handle_connected(self) -> None:
        """Handles a source that reached the store again, before merging its records."""
        self.handle_records()
        # Tells subscribers that they need no other source.
        self._publisher.notify_subscribers()

    def handle_records(self) -> None:
        """Detects the end of an outage of the store, before merging new records.

        A peer may pass on the first records after an outage before any source of this
        instance is fresh.
        """
        if self.is_fresh() or self._log.revision == 0:
            return
        outage_s = time.monotonic() - self._fresh_at
        if outage_s < MIN_OUTAGE_S and not self._reader.is_failing:
            return
        logger.info("store was away", extra={"away_s": round(outage_s, 3)})
        self._on_store_recovered()

    def _should_read(self, members: list[Member], now: float) -> bool:
        if self._own.instance in {
            reader.instance for reader in select_readers(members)
        }:
            return True
        publisher = self._publisher
        if (
            publisher.subscriber_count
            or now - publisher.last_subscriber_at < IDLE_READER_TIMEOUT_S
        ):
            return True
        if self._read_task is None:
            delay_s = DIRECT_READ_DELAY_S + DIRECT_READ_SPREAD_S * spread(
                self._own.instance
            )
            return now - self._fresh_at > delay_s
        return not self._has_fresh_source()

    def _start_reading(self) -> None:
        if self._read_task is None or self._read_task.done():
            self._read_task = asyncio.create_task(self._reader.run())
            logger.info("reading the store", extra={"revision": self._log.revision})

    def _stop_reading(self) -> None:
        if self._read_task is not None:
            self._read_task.cancel()
            self._read_task = None
            extra = {
                "sources": [source.peer for source in self._subscriptions],
                "revision": self._log.revision,
            }
            logger.info("receiving records from peers", extra=extra)

    def _update_subscriptions(self, members: list[Member], now: float) -> None:
        self._drop_failed_sources(now)
        sources = self._select_sources(members, now)
        wanted = [
            (member, index > 0)
            for index, member in enumerate(sources[:SUBSCRIPTION_COUNT])
        ]
        subscribed = {
            (subscription.peer, subscription.is_standby)
            for subscription in self._subscriptions
        }
        for member, is_standby in wanted:
            if (member.instance, is_standby) not in subscribed:
                self._subscribe(member, is_standby=is_standby)
        self._cancel_replaced(
            {(member.instance, standby) for member, standby in wanted}
        )

    def _drop_failed_sources(self, now: float) -> None:
        """Removes ended subscriptions and delays the next use of failed sources."""
        lead_s = max(
            (subscription.get_lead_s() for subscription in self._subscriptions),
            default=0.0,
        )
        for subscription in [*self._subscriptions]:
            if subscription.has_ended:
                self._subscriptions.pop(subscription)
            is_behind = subscription.is_behind(lead_s)
            if is_behind:
                logger.info(
                    "source is behind the standby",
                    extra={"peer": subscription.peer, "lead_s": round(lead_s, 2)},
                )
            if (
                is_behind
                or subscription.is_peer_unavailable
                or subscription.is_peer_stale()
            ):
                delay_s = (
                    SEED_RETRY_DELAY_S
                    if subscription.peer in self._seeds
                    else SOURCE_RETRY_DELAY_S
                )
                self._retry_at[subscription.peer] = now + delay_s

    def _cancel_replaced(self, wanted: set[tuple[str, bool]]) -> None:
        """Cancels other subscriptions once all wanted ones are fresh."""
        fresh = {
            (subscription.peer, subscription.is_standby)
            for subscription in self._subscriptions
            if subscription.is_fresh()
        }
        if not wanted <= fresh:
            return
        for subscription in [*self._subscriptions]:
            if (subscription.peer, subscription.is_standby) not in wanted:
                self._subscriptions.pop(subscription).cancel()

    def _select_sources(self, members: list[Member], now: float) -> list[Member]:
        """Returns the instances to subscribe to, in order of preference."""
        seeds = [
            Member(seed, seed, "")
            # The order differs between instances, which spreads them over the seeds.
            for seed in sorted(
                self._seeds, key=lambda seed: hash_text(self._own.instance + seed)
            )
            if now >= self._retry_at.get(seed, 0.0)
        ]
        if not members:
            return [] if self._reader.is_fresh() else seeds
        readers = {reader.instance for reader in select_readers(members)}
        is_reader = self._own.instance in readers
        if is_reader and now - self._reader_fresh_at <= READER_FALLBACK_DELAY_S:
            return []
        sources = [
            member
            for member in order_sources(members, self._own)
            if now >= self._retry_at.get(member.instance, 0.0)
        ]
        # Seeds may be instances that had not registered when the store was lost.
        return [*sources, *seeds]

    def _subscribe(self, member: Member, *, is_standby: bool) -> None:
        subscription = Subscription(
            self._own.instance,
            member.instance,
            member.address,
            self._log,
            self.handle_connected,
            self.handle_records,
            is_standby=is_standby,
            started_at=self._started_at,
        )
        self._subscriptions[subscription] = asyncio.create_task(subscription.run())
