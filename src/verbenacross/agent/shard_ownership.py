"""Ownership of shards of services by leases in the store."""

from __future__ import annotations

import asyncio
import json
import random
import time
import uuid
from typing import TYPE_CHECKING, NamedTuple

import logbook
from reactivex.subject import Subject

from ..infrastructure.exceptions import LeaseLostError, StoreConflictError, StoreError
from ..infrastructure.key_value_store import ABSENT_REVISION
from ..upstreams.directory_replica import hash_bytes
from .rendezvous import find_first
from .shard_order import ShardOrder, build_topic

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..infrastructure.key_value_store import KeyValueStore, StoredValue
    from ..peers import PeerNetwork

SHARD_PREFIX = "shards/"
LEASE_TTL_MS = 10_000
LEASE_TTL_S = 10.0
LEASE_MARGIN_S = 1.0
RENEW_INTERVAL_S = 3.0
STEP_INTERVAL_S = 1.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
MAX_DOUBLINGS = 3
# A holder that is no longer first keeps the shard for this long, so that a change of
# members that is undone at once moves nothing.
YIELD_AFTER_S = 3.0
CLOSE_TIMEOUT_S = 1.0

logger = logbook.Logger("verbenacross.agent.shard_ownership")


class HeldShard(NamedTuple):
    """A shard whose key is written under the own lease."""

    revision: int
    since: float


class ShardOwnership:
    """Acquires, renews and releases the shards of which this agent is first.

    One lease of the process covers all its shards. Its end is computed on the own
    monotonic clock from the moment before the call that granted or renewed it, less a
    margin, so a holder stops before the store lets another acquire, also after a pause
    and after a lost answer. The key of a shard names the process that wrote it: a
    restarted agent does not take its earlier key for its own. Only shards of the
    services that ``find_services`` returns are acquired.
    """

    def __init__(
        self,
        instance: str,
        shards: int,
        network: PeerNetwork,
        store: KeyValueStore,
        clock: Callable[[], float] = time.monotonic,
        find_services: Callable[[], Iterable[str]] | None = None,
    ) -> None:
        self.shards = shards
        self._find_services = find_services
        self._shard_by_service: dict[str, int] = {}
        self.holders: dict[int, str] = {}
        self.releases: Subject[int] = Subject()
        self._instance = instance
        self._network = network
        self._store = store
        self._clock = clock
        self._nonce = uuid.uuid4().hex
        self._order = ShardOrder(shards)
        self._lease: str | None = None
        self._valid_until = 0.0
        self._renewed_at = 0.0
        self._held: dict[int, HeldShard] = {}
        self._not_first_since: dict[int, float] = {}
        self._to_delete: dict[int, int] = {}
        self._uncertain: dict[int, float] = {}
        self._failing_since: float | None = None
        self._failures = 0

    def find_shard(self, service: str) -> int:
        """Returns the shard of a service."""
        shard = self._shard_by_service.get(service)
        if shard is None:
            shard = hash_bytes(service.encode()) % self.shards
            self._shard_by_service[service] = shard
        return shard

    def find_first(self, shard: int) -> str:
        """Returns the first live agent in rendezvous order; this agent if none."""
        return self._order.firsts[shard] or self._instance

    def find_successor(self, shard: int, others: Iterable[str]) -> str:
        """Returns the first of other agents in rendezvous order for a shard."""
        return find_first(others, build_topic(shard))

    def holds(self, shard: int) -> bool:
        """Returns whether the lease on a shard is valid at this moment."""
        return shard in self._held and self._clock() < self._valid_until

    def get_held_since(self, shard: int) -> float | None:
        """Returns when a held shard was acquired, ``None`` if it is not held."""
        return self._held[shard].since if self.holds(shard) else None

    def get_held(self) -> dict[int, float]:
        """Returns the held shards with the monotonic time of their acquisition."""
        if self._clock() >= self._valid_until:
            return {}
        return {shard: held.since for shard, held in self._held.items()}

    def get_store_lost_at(self) -> float | None:
        """Returns when the store had been unreachable for longer than a lease."""
        if self._failing_since is None:
            return None
        lost_at = self._failing_since + LEASE_TTL_S
        return lost_at if self._clock() >= lost_at else None

    async def run(self) -> None:
        """Keeps the leases until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(self.draw_wait_s())

    def draw_wait_s(self) -> float:
        """Returns the seconds to the next step; full-jitter backoff after failures."""
        if not self._failures:
            return STEP_INTERVAL_S * random.uniform(0.8, 1.2)
        doubled_s = STEP_INTERVAL_S * 2 ** min(self._failures, MAX_DOUBLINGS)
        return random.uniform(MIN_BACKOFF_S, min(MAX_BACKOFF_S, doubled_s))

    async def step(self) -> None:
        """Renews, releases and acquires what is due."""
        self._order.update(member.instance for member in self._network.get_alive())
        wanted = self._find_wanted()
        self._yield_shards(wanted)
        try:
            await self._renew_if_due()
            await self._delete_released()
            await self._acquire(wanted - set(self._held))
        except LeaseLostError as error:
            self._note_success()
            self._drop_lease()
            logger.warning("shard lease lost: {}", error)
        except StoreError as error:
            self._note_failure()
            logger.warning("shard ownership: {}", error)

    async def close(self) -> None:
        """Releases all shards; the lease lapses by itself if the store is away."""
        lease = self._lease
        held = list(self._held)
        self._drop_lease()
        for shard in held:
            self.releases.on_next(shard)
        if lease is None:
            return
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._store.revoke_lease(lease)
        except (TimeoutError, StoreError) as error:
            logger.warning("shard lease not revoked: {!r}", error)

    def _find_wanted(self) -> set[int]:
        own = {
            shard
            for shard, first in enumerate(self._order.firsts)
            if first == self._instance
        }
        if self._find_services is None:
            return own
        return own & {self.find_shard(service) for service in self._find_services()}

    def _yield_shards(self, wanted: set[int]) -> None:
        now = self._clock()
        for shard in list(self._held):
            if shard in wanted:
                self._not_first_since.pop(shard, None)
                continue
            since = self._not_first_since.setdefault(shard, now)
            if now - since >= YIELD_AFTER_S:
                del self._not_first_since[shard]
                self._to_delete[shard] = self._held.pop(shard).revision
                self.releases.on_next(shard)

    async def _renew_if_due(self) -> None:
        if self._lease is None:
            return
        sent_at = self._clock()
        if sent_at - self._renewed_at < RENEW_INTERVAL_S:
            return
        if not self._held and not self._to_delete:
            self._drop_lease()
            return
        await self._store.renew_lease(self._lease)
        self._extend(sent_at)

    async def _delete_released(self) -> None:
        for shard, revision in list(self._to_delete.items()):
            try:
                await self._store.delete(build_shard_key(shard), revision)
            except StoreConflictError:
                logger.info("shard {} was released earlier", shard)
            self._note_success()
            self._to_delete.pop(shard, None)

    async def _acquire(self, missing: set[int]) -> None:
        if not missing and not self._uncertain:
            return
        snapshot = await self._store.read_prefix(SHARD_PREFIX)
        self._note_success()
        taken = self._take_snapshot(snapshot.values, missing)
        for shard in sorted(missing - taken):
            await self._put(shard)

    def _take_snapshot(
        self, values: Iterable[StoredValue], missing: set[int]
    ) -> set[int]:
        """Notes the holders; settles keys of the own lease whose write got no answer.

        Returns the shards that have a holder.
        """
        self.holders = {}
        for stored in values:
            shard = read_shard(stored.key, self.shards)
            if shard is None:
                continue
            holder, nonce, lease = read_holder(stored.value)
            self.holders[shard] = holder
            if nonce != self._nonce or lease != self._lease or shard in self._held:
                continue
            if shard in missing:
                self._hold(shard, stored.revision)
            else:
                self._to_delete[shard] = stored.revision
        now = self._clock()
        self._uncertain = {k: end for k, end in self._uncertain.items() if now < end}
        return set(self.holders)

    async def _put(self, shard: int) -> None:
        lease = await self._get_lease()
        holder = {"holder": self._instance, "nonce": self._nonce, "lease": lease}
        # The write may take effect without an answer, also after its timeout.
        self._uncertain[shard] = self._clock() + LEASE_TTL_S
        try:
            revision = await self._store.put(
                build_shard_key(shard),
                json.dumps(holder).encode(),
                ABSENT_REVISION,
                lease,
            )
        except StoreConflictError:
            # Another agent was first, or an earlier write of this one took effect and
            # its answer was lost; the next step reads which.
            return
        self._note_success()
        del self._uncertain[shard]
        self._hold(shard, revision)

    async def _get_lease(self) -> str:
        if self._lease is not None and self._clock() < self._valid_until:
            return self._lease
        self._drop_lease()
        sent_at = self._clock()
        self._lease = await self._store.grant_lease(LEASE_TTL_MS)
        self._extend(sent_at)
        return self._lease

    def _hold(self, shard: int, revision: int) -> None:
        self._to_delete.pop(shard, None)
        self._held[shard] = HeldShard(revision, self._clock())
        self.holders[shard] = self._instance

    def _extend(self, sent_at: float) -> None:
        self._note_success()
        self._renewed_at = sent_at
        self._valid_until = sent_at + LEASE_TTL_S - LEASE_MARGIN_S

    def _drop_lease(self) -> None:
        self._lease = None
        self._valid_until = 0.0
        self._held.clear()
        self._to_delete.clear()
        self._uncertain.clear()

    def _note_success(self) -> None:
        self._failures = 0
        self._failing_since = None

    def _note_failure(self) -> None:
        self._failures += 1
        if self._failing_since is None:
            self._failing_since = self._clock()


def build_shard_key(shard: int) -> str:
    """Returns the store key of a shard."""
    return f"{SHARD_PREFIX}{shard}"


def read_shard(key: str, shards: int) -> int | None:
    """Returns the shard of a store key, ``None`` if the key names none."""
    text = key.removeprefix(SHARD_PREFIX)
    if not text.isascii() or not text.isdigit() or int(text) >= shards:
        return None
    return int(text)


def read_holder(value: bytes | None) -> tuple[str, str, str]:
    """Returns instance, process nonce and lease in a shard's value."""
    try:
        holder = json.loads(value or b"")
        return str(holder["holder"]), str(holder["nonce"]), str(holder["lease"])
    except (ValueError, KeyError, TypeError):
        return "", "", ""
