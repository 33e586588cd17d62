"""Store leases that expire idempotency keys."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ..infrastructure.key_value_store import KeyValueStore

MS_PER_S = 1_000
MIN_WINDOW_S = 1.0
MAX_WINDOW_S = 3_600.0
WINDOWS_PER_RETENTION = 24


class KeyLease(NamedTuple):
    """Lease for keys created before ``usable_until`` on the monotonic clock."""

    identifier: str
    usable_until: float


class KeyLeases:
    """Store leases that expire idempotency keys, even if this entry has crashed.

    All keys created within a window share a lease that is never renewed, so the store
    receives one call per window instead of one per key. A key is kept for its retention
    and at most one window longer.
    """

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store
        self._leases: dict[int, KeyLease] = {}
        self._lock = asyncio.Lock()

    async def get(self, retention_s: int) -> str:
        """Returns the id of a lease that outlives the retention; grants one if needed.

        Raises ``StoreError``.
        """
        async with self._lock:
            lease = self._leases.get(retention_s)
            if lease is not None and time.monotonic() < lease.usable_until:
                return lease.identifier
            window_s = retention_s / WINDOWS_PER_RETENTION
            window_s = min(MAX_WINDOW_S, max(MIN_WINDOW_S, window_s))
            usable_until = time.monotonic() + window_s
            lifetime_ms = int((retention_s + window_s) * MS_PER_S)
            identifier = await self._store.grant_lease(lifetime_ms)
            self._leases[retention_s] = KeyLease(identifier, usable_until)
            return identifier

    def discard(self, retention_s: int) -> None:
        """Discards the lease for a retention after the store has lost it."""
        self._leases.pop(retention_s, None)
