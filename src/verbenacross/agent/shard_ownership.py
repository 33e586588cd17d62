"""Ownership of service shards, backed by a lease in the store."""

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
from .rendezvous import find_preferred
from .shard_assignment import ShardAssignment, build_topic

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
MAX_BACKOFF_DOUBLINGS = 3
# An agent that is no longer the preferred owner keeps the shard for this long, so that
# a short-lived membership change moves no shard.
RELEASE_DELAY_S = 3.0
CLOSE_TIMEOUT_S = 1.0

logger = logbook.Logger("verbenacross.agent.shard_ownership")


class HeldShard(NamedTuple):
    """A shard that this agent holds.

    ``revision`` is the store revision of its key, ``since`` the monotonic time of the
    acquisition.
    """

    revision: int
    since: float


class ShardOwnership:
    """Acquires, renews and releases the shards whose preferred owner is this agent.

    One lease per process covers all its shards. The expiry is computed on the local
    monotonic clock from the time before the grant or renewal call was sent, less a
    margin. The holder therefore stops before the store lets another agent acquire the
    shard, even after a process pause or a lost response. The key of a shard contains a
    nonce of the process that wrote it, so that a restarted agent does not mistake the
    key of its predecessor for its own. Only shards of the services that
    ``find_services`` returns are acquired. ``releases`` emits each released shard.
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
        self._process_nonce = uuid.uuid4().hex
        self._assignment = ShardAssignment(shards)
        self._lease: str | None = None
        self._lease_valid_until = 0.0
        self._lease_renewed_at = 0.0
        self._held: dict[int, HeldShard] = {}
        self._unwanted_since: dict[int, float] = {}
        self._pending_deletes: dict[int, int] = {}
        self._unacknowledged_writes: dict[int, float] = {}
        self._failing_since: float | None = None
        self._failure_count = 0

    def find_shard(self, service: str) -> int:
        """Returns the shard of a service."""
        shard = self._shard_by_service.get(service)
        if shard is None:
            shard = hash_bytes(service.encode()) % self.shards
            self._shard_by_service[service] = shard
        return shard

    def get_preferred_owner(self, shard: int) -> str:
        """Returns the preferred owner of a shard, this agent if none is alive."""
        return self._assignment.preferred_owners[shard] or self._instance

    def choose_successor(self, shard: int, others: Iterable[str]) -> str:
        """Returns which of the other agents is the preferred owner of a shard."""
        return find_preferred(others, build_topic(shard))

    def holds(self, shard: int) -> bool:
        """Returns whether this agent holds a shard under a lease that is valid now."""
        return shard in self._held and self._clock() < self._lease_valid_until

    def get_held_since(self, shard: int) -> float | None:
        """Returns the monotonic time of acquisition, ``None`` if not held."""
        return self._held[shard].since if self.holds(shard) else None

    def get_held(self) -> dict[int, float]:
        """Returns the held shards with the monotonic time of their acquisition."""
        if self._clock() >= self._lease_valid_until:
            return {}
        return {shard: held.since for shard, held in self._held.items()}

    def get_store_unavailable_at(self) -> float | None:
        """Returns when a store outage began to exceed the lease time-to-live.

        ``None`` if the store is reachable or has failed for a shorter time.
        """
        if self._failing_since is None:
            return None
        unavailable_at = self._failing_since + LEASE_TTL_S
        return unavailable_at if self._clock() >= unavailable_at else None

    async def run(self) -> None:
        """Maintains the lease and the shards until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(self.draw_step_delay_s())

    def draw_step_delay_s(self) -> float:
        """Returns the seconds until the next step: full-jitter backoff on failures."""
        if not self._failure_count:
            return STEP_INTERVAL_S * random.uniform(0.8, 1.2)
        backoff_s = STEP_INTERVAL_S * 2 ** min(
            self._failure_count, MAX_BACKOFF_DOUBLINGS
        )
        return random.uniform(MIN_BACKOFF_S, min(MAX_BACKOFF_S, backoff_s))

    async def step(self) -> None:
        """Renews the lease if due, releases unwanted and acquires missing shards."""
        self._assignment.update(
            member.instance for member in self._network.get_live_members()
        )
        wanted = self._find_wanted_shards()
        self._release_unwanted(wanted)
        try:
            await self._renew_if_due()
            await self._delete_released()
            await self._acquire(wanted - set(self._held))
        except LeaseLostError as error:
            self._record_success()
            self._drop_lease()
            logger.warning("shard lease lost: {}", error)
        except StoreError as error:
            self._record_failure()
            logger.warning("shard ownership update failed: {}", error)

    async def close(self) -> None:
        """Releases all shards and revokes the lease.

        If the store is unreachable, the lease expires by itself.
        """
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
            logger.warning("could not revoke the shard lease: {!r}", error)

    def _find_wanted_shards(self) -> set[int]:
        preferred = {
            shard
            for shard, owner in enumerate(self._assignment.preferred_owners)
            if owner == self._instance
        }
        if self._find_services is None:
            return preferred
        return preferred & {
            self.find_shard(service) for service in self._find_services()
        }

    def _release_unwanted(self, wanted: set[int]) -> None:
        now = self._clock()
        for shard in list(self._held):
            if shard in wanted:
                self._unwanted_since.pop(shard, None)
                continue
            since = self._unwanted_since.setdefault(shard, now)
            if now - since >= RELEASE_DELAY_S:
                del self._unwanted_since[shard]
                self._pending_deletes[shard] = self._held.pop(shard).revision
                self.releases.on_next(shard)

    async def _renew_if_due(self) -> None:
        if self._lease is None:
            return
        sent_at = self._clock()
        if sent_at - self._lease_renewed_at < RENEW_INTERVAL_S:
            return
        if not self._held and not self._pending_deletes:
            self._drop_lease()
            return
        await self._store.renew_lease(self._lease)
        self._extend_lease(sent_at)

    async def _delete_released(self) -> None:
        for shard, revision in list(self._pending_deletes.items()):
            try:
                await self._store.delete(build_shard_key(shard), revision)
            except StoreConflictError:
                logger.info("shard {} was already released", shard)
            self._record_success()
            self._pending_deletes.pop(shard, None)

    async def _acquire(self, missing: set[int]) -> None:
        if not missing and not self._unacknowledged_writes:
            return
        snapshot = await self._store.read_prefix(SHARD_PREFIX)
        self._record_success()
        occupied = self._process_snapshot(snapshot.values, missing)
        for shard in sorted(missing - occupied):
            await self._write_key(shard)

    def _process_snapshot(
        self, values: Iterable[StoredValue], missing: set[int]
    ) -> set[int]:
        """Updates the holders from the stored keys and returns the occupied shards.

        Also resolves writes under this lease whose response was lost: the shard becomes
        held if it is still missing, otherwise its key is deleted.
        """
        self.holders = {}
        for stored in values:
            shard = parse_shard_key(stored.key, self.shards)
            if shard is None:
                continue
            holder, nonce, lease = parse_holder(stored.value)
            self.holders[shard] = holder
            if (
                nonce != self._process_nonce
                or lease != self._lease
                or shard in self._held
            ):
                continue
            if shard in missing:
                self._add_held(shard, stored.revision)
            else:
                self._pending_deletes[shard] = stored.revision
        now = self._clock()
        self._unacknowledged_writes = {
            k: end for k, end in self._unacknowledged_writes.items() if now < end
        }
        return set(self.holders)

    async def _write_key(self, shard: int) -> None:
        lease = await self._get_lease()
        holder = {
            "holder": self._instance,
            "nonce": self._process_nonce,
            "lease": lease,
        }
        # The write may take effect although its response is lost, even after a timeout.
        self._unacknowledged_writes[shard] = self._clock() + LEASE_TTL_S
        try:
            revision = await self._store.put(
                build_shard_key(shard),
                json.dumps(holder).encode(),
                ABSENT_REVISION,
                lease,
            )
        except StoreConflictError:
            # Either another agent holds the shard, or an earlier write of this agent
            # took effect and its response was lost; the next step reads the key.
            return
        self._record_success()
        del self._unacknowledged_writes[shard]
        self._add_held(shard, revision)

    async def _get_lease(self) -> str:
        if self._lease is not None and self._clock() < self._lease_valid_until:
            return self._lease
        self._drop_lease()
        sent_at = self._clock()
        self._lease = await self._store.grant_lease(LEASE_TTL_MS)
        self._extend_lease(sent_at)
        return self._lease

    def _add_held(self, shard: int, revision: int) -> None:
        self._pending_deletes.pop(shard, None)
        self._held[shard] = HeldShard(revision, self._clock())
        self.holders[shard] = self._instance

    def _extend_lease(self, sent_at: float) -> None:
        self._record_success()
        self._lease_renewed_at = sent_at
        self._lease_valid_until = sent_at + LEASE_TTL_S - LEASE_MARGIN_S

    def _drop_lease(self) -> None:
        self._lease = None
        self._lease_valid_until = 0.0
        self._held.clear()
        self._pending_deletes.clear()
        self._unacknowledged_writes.clear()

    def _record_success(self) -> None:
        self._failure_count = 0
        self._failing_since = None

    def _record_failure(self) -> None:
        self._failure_count += 1
        if self._failing_since is None:
            self._failing_since = self._clock()


def build_shard_key(shard: int) -> str:
    """Returns the store key of a shard."""
    return f"{SHARD_PREFIX}{shard}"


def parse_shard_key(key: str, shards: int) -> int | None:
    """Parses the shard from a store key; ``None`` if the key is not a shard key."""
    text = key.removeprefix(SHARD_PREFIX)
    if not text.isascii() or not text.isdigit() or int(text) >= shards:
        return None
    return int(text)


def parse_holder(value: bytes | None) -> tuple[str, str, str]:
    """Parses instance, process nonce and lease from the value of a shard key.

    All three are empty if the value is malformed.
    """
    try:
        holder = json.loads(value or b"")
        return str(holder["holder"]), str(holder["nonce"]), str(holder["lease"])
    except (ValueError, KeyError, TypeError):
        return "", "", ""
