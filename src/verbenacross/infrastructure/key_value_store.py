"""Interface of the platform's key-value store."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, Protocol

ABSENT_REVISION = 0
MAX_VALUE_BYTES = 1_048_576
# The bits of a packed position that hold the revision and the step.
REVISION_BITS = 48
STEP_BITS = 2


class StoredValue(NamedTuple):
    """A value with the revision of its last modification; ``None`` when deleted."""

    key: str
    value: bytes | None
    revision: int


class PositionStep(IntEnum):
    """Why a record has a position of the store; later ones outweigh earlier ones.

    The store wrote it there, a copy of an earlier era was carried over, or the store's
    copy was taken after all.
    """

    WRITTEN = 0
    CARRIED_OVER = 1
    SETTLED = 2


class StorePosition(NamedTuple):
    """A moment in the life of the store; positions are ordered by time.

    ``era`` rises by one each time the store is restored from a copy. The store then
    gives out revisions again, so revisions of different eras cannot be compared.
    """

    era: int
    revision: int

    def __str__(self) -> str:
        return f"{self.era}/{self.revision}" if self.era else str(self.revision)

    def pack(self, step: PositionStep = PositionStep.WRITTEN) -> int:
        """Returns the position as one number with the same order.

        In era 0 it is the revision. In later eras a ``step`` orders decisions about a
        read at this position between it and the next one.
        """
        if not self.era:
            return self.revision
        return self.era << REVISION_BITS | self.revision << STEP_BITS | step

    @classmethod
    def unpack(cls, packed: int) -> StorePosition:
        """Returns the position that was packed into a number."""
        era, revision = divmod(packed, 1 << REVISION_BITS)
        return cls(era, revision >> STEP_BITS if era else revision)


NO_POSITION = StorePosition(0, 0)


class StoreSnapshot(NamedTuple):
    """Values under a prefix, complete up to a revision of the whole store."""

    revision: int
    values: tuple[StoredValue, ...]
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """The position up to which the values are complete."""
        return StorePosition(self.era, self.revision)


class KeyValueStore(Protocol):
    """Key-value store with compare-and-swap, leases and watches.

    A response of an earlier era than a response before it is treated as lost.

    Every method raises ``StoreUnavailableError`` when the store cannot be reached or
    its response is lost; a write may then have taken effect.
    """

    async def get(self, key: str) -> StoredValue | None:
        """Returns the value of a key, or ``None`` when it is absent."""

    async def read_prefix(self, prefix: str) -> StoreSnapshot:
        """Returns all values under a prefix."""

    async def watch(self, prefix: str, revision: int, wait_ms: int) -> StoreSnapshot:
        """Returns the changes under a prefix after a revision.

        Waits up to ``wait_ms`` milliseconds for the first change. Raises
        ``HistoryLostError`` when the store no longer has the changes after that
        revision.
        """

    async def put(
        self, key: str, value: bytes, expected: int, lease: str | None = None
    ) -> int:
        """Writes a value if the key is at the expected revision (0: absent).

        Returns the new revision. A key written with a lease is deleted when the lease
        ends. Raises ``StoreConflictError`` when the key is at another revision.
        """

    async def delete(self, key: str, expected: int) -> int:
        """Deletes a key if it is at the expected revision; returns the new revision."""

    async def grant_lease(self, ttl_ms: int) -> str:
        """Returns the id of a new lease that lives for ``ttl_ms`` milliseconds."""

    async def renew_lease(self, lease: str) -> None:
        """Restarts the lifetime of a lease; raises ``LeaseLostError`` if expired."""

    async def revoke_lease(self, lease: str) -> None:
        """Ends a lease and deletes the keys written with it."""


class CheckedStore(KeyValueStore, Protocol):
    """A key-value store with eras and an inexpensive availability check.

    ``era`` is the highest era of its responses.
    """

    @property
    def era(self) -> int:
        """The highest era of the store's responses."""

    async def check(self) -> int:
        """Returns the store's era.

        Raises ``StoreUnavailableError`` if the store does not respond.
        """
