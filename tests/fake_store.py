"""In-memory key-value store with the faults that leases must survive."""

from __future__ import annotations

import itertools

from tests.fake_clock import FakeClock
from verbenacross.infrastructure.exceptions import (
    LeaseLostError,
    StoreConflictError,
    StoreUnavailableError,
)
from verbenacross.infrastructure.key_value_store import StoredValue, StoreSnapshot


class FakeStore:
    """``lose`` lists the calls that take effect but whose responses are lost."""

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.era = 0
        self.down = False
        self.lose: list[str] = []
        self.calls = 0
        self.values: dict[str, tuple[bytes, int, str]] = {}
        self._leases: dict[str, float] = {}
        self._ttls: dict[str, float] = {}
        self._sequence = itertools.count(1)

    def _begin(self) -> None:
        self.calls += 1
        if self.down:
            raise StoreUnavailableError("down")
        expired = {key for key, end in self._leases.items() if end <= self.clock.now}
        for lease in expired:
            del self._leases[lease]
        self.values = {k: v for k, v in self.values.items() if v[2] not in expired}

    def _end(self, call: str) -> None:
        if call in self.lose:
            self.lose.remove(call)
            raise StoreUnavailableError("response lost")

    async def check(self) -> int:
        self._begin()
        return self.era

    async def read_prefix(self, prefix: str) -> StoreSnapshot:
        self._begin()
        values = tuple(StoredValue(k, v[0], v[1]) for k, v in self.values.items())
        return StoreSnapshot(1, values)

    async def put(self, key: str, value: bytes, expected: int, lease: str) -> int:
        self._begin()
        if lease not in self._leases:
            raise LeaseLostError(lease)
        if key in self.values:
            raise StoreConflictError(key, expected, self.values[key][1])
        self.values[key] = (value, next(self._sequence), lease)
        self._end("put")
        return self.values[key][1]

    async def delete(self, key: str, expected: int) -> int:
        self._begin()
        if self.values.get(key, (b"", 0, ""))[1] != expected:
            raise StoreConflictError(key, expected, 0)
        del self.values[key]
        self._end("delete")
        return next(self._sequence)

    async def grant_lease(self, ttl_ms: int) -> str:
        self._begin()
        lease = f"lease-{next(self._sequence)}"
        self._ttls[lease] = ttl_ms / 1_000
        self._leases[lease] = self.clock.now + self._ttls[lease]
        self._end("grant")
        return lease

    async def renew_lease(self, lease: str) -> None:
        self._begin()
        if lease not in self._leases:
            raise LeaseLostError(lease)
        self._leases[lease] = self.clock.now + self._ttls[lease]
        self._end("renew")

    async def revoke_lease(self, lease: str) -> None:
        self._begin()
        self._leases[lease] = 0.0
        self._begin()
