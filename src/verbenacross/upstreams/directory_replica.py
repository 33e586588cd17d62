"""Replicated copy of the instance list, with versioned entries that agents merge."""

from __future__ import annotations

import hashlib
import time
from typing import TYPE_CHECKING

from ..protocol.messages import DirectoryEntry, DirectoryUpdates

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Iterator

    from ..infrastructure.instance_list import Instance
    from .upstream_directory import UpstreamDirectory

BUCKETS = 256
MAX_ENTRIES_PER_MESSAGE = 1_000
MAX_TOMBSTONES = 5_000
TOMBSTONE_LIFETIME_S = 600.0
# Readers of the list may lag behind each other by this time, in seconds; see
# ``ListChangeDetector``.
RECENT_CHANGE_S = 60.0


class DirectoryReplica:
    """Versioned entries of the instance list, merged into an ``UpstreamDirectory``.

    The entry with the highest precedence is kept for each id, so late, duplicated and
    reordered entries have no effect. Removed ids are kept as tombstones for
    ``TOMBSTONE_LIFETIME_S``. Digests cover only ids that are not removed: if they
    covered tombstones, two agents that expire one at different times would send it back
    to each other indefinitely.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.directory = directory
        self.version = 0
        self.merge_count = 0
        self._clock = clock
        self._entries: dict[str, DirectoryEntry] = {}
        self._ids_by_bucket: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._digests = [0] * BUCKETS
        self._tombstones: dict[str, float] = {}
        self._changed_at: dict[str, float] = {}

    def get(self, identifier: str) -> DirectoryEntry | None:
        """Returns the entry of an id, a tombstone included."""
        return self._entries.get(identifier)

    def is_empty(self) -> bool:
        """Returns whether the replica has no entries."""
        return not self._entries

    def get_changed_at(self, identifier: str) -> float | None:
        """Returns when the content of a known entry changed.

        ``None`` means that it did not change within ``RECENT_CHANGE_S``.
        """
        changed_at = self._changed_at.get(identifier)
        if changed_at is None or self._clock() - changed_at > RECENT_CHANGE_S:
            return None
        return changed_at

    def record_changes(
        self, origin: str, changes: Iterable[tuple[str, Instance | None]]
    ) -> tuple[DirectoryEntry, ...]:
        """Merges changes of a reader under a new version; returns accepted entries."""
        version = self.version + 1
        entries = [DirectoryEntry(key, version, origin, item) for key, item in changes]
        return self.merge(entries)

    def merge(self, entries: Iterable[DirectoryEntry]) -> tuple[DirectoryEntry, ...]:
        """Merges the entries that take precedence over the known ones; returns them."""
        accepted: dict[str, DirectoryEntry] = {}
        for entry in entries:
            known = self._entries.get(entry.id)
            if known is None or get_precedence(known) < get_precedence(entry):
                self._store(entry, known)
                accepted[entry.id] = entry
        if accepted:
            self.merge_count += 1
            self._purge()
            self._update_directory(accepted.values())
        return tuple(accepted.values())

    def compute_digest(self) -> int:
        """Returns the digest of all entries that are not tombstones."""
        text = b"".join(digest.to_bytes(8, "big") for digest in self._digests)
        return hash_bytes(text)

    def get_bucket_digests(self) -> tuple[int, ...]:
        """Returns the digest of each bucket."""
        return tuple(self._digests)

    def find_differing(self, digests: Collection[int]) -> tuple[int, ...]:
        """Returns the buckets whose digests differ from those of another replica.

        Returns none if the number of buckets differs.
        """
        if len(digests) != BUCKETS:
            return ()
        pairs = zip(self._digests, digests, strict=True)
        return tuple(index for index, (own, other) in enumerate(pairs) if own != other)

    def get_bucket(self, bucket: int) -> tuple[DirectoryEntry, ...]:
        """Returns the entries of a bucket, tombstones included."""
        return tuple(self._entries[key] for key in sorted(self._ids_by_bucket[bucket]))

    def _store(self, entry: DirectoryEntry, known: DirectoryEntry | None) -> None:
        bucket = find_bucket(entry.id)
        if known is not None:
            self._digests[bucket] ^= hash_entry(known)
        self._digests[bucket] ^= hash_entry(entry)
        self._ids_by_bucket[bucket].add(entry.id)
        self._entries[entry.id] = entry
        self.version = max(self.version, entry.version)
        now = self._clock()
        if known is not None and known.instance != entry.instance:
            self._changed_at[entry.id] = now
        self._tombstones.pop(entry.id, None)
        if entry.instance is None:
            self._tombstones[entry.id] = now

    def _update_directory(self, entries: Collection[DirectoryEntry]) -> None:
        changed = []
        removed = []
        for entry in entries:
            if entry.instance is None:
                removed.append(entry.id)
            elif self.directory.instances.get(entry.id) != entry.instance:
                changed.append(entry.instance)
        removed = [key for key in removed if key in self.directory.instances]
        if changed or removed:
            self.directory.apply(
                DirectoryUpdates(self.version, False, tuple(changed), tuple(removed))
            )

    def _purge(self) -> None:
        now = self._clock()
        for key, removed_at in list(self._tombstones.items()):
            is_over_limit = len(self._tombstones) > MAX_TOMBSTONES
            if not is_over_limit and now - removed_at <= TOMBSTONE_LIFETIME_S:
                break
            del self._tombstones[key]
            del self._entries[key]
            self._ids_by_bucket[find_bucket(key)].discard(key)
        for key, changed_at in list(self._changed_at.items()):
            if now - changed_at <= RECENT_CHANGE_S:
                break
            del self._changed_at[key]


def split_entries(
    entries: Collection[DirectoryEntry], version: int
) -> Iterator[DirectoryUpdates]:
    """Splits entries into messages below the message size limit."""
    ordered = tuple(entries)
    for start in range(0, len(ordered), MAX_ENTRIES_PER_MESSAGE):
        chunk = ordered[start : start + MAX_ENTRIES_PER_MESSAGE]
        yield DirectoryUpdates(version, False, (), (), entries=chunk)


def get_precedence(entry: DirectoryEntry) -> tuple[int, str, int, tuple[object, ...]]:
    """Returns the key that orders entries of one id; the greatest is kept.

    Entries are ordered by version and origin, then by state: removed over leaving over
    live. Agents that start from the list use the same version and no origin, so their
    entries may differ only in content.
    """
    if entry.instance is None:
        return (entry.version, entry.origin, 2, ())
    leaving = 1 if entry.instance.state == "leaving" else 0
    return (entry.version, entry.origin, leaving, entry.instance)


def find_bucket(identifier: str) -> int:
    """Returns the bucket of an id."""
    return hash_bytes(identifier.encode()) % BUCKETS


def hash_entry(entry: DirectoryEntry) -> int:
    """Returns a 64-bit hash of an entry, 0 for a tombstone."""
    if entry.instance is None:
        return 0
    return hash_bytes(repr(entry).encode())


def hash_bytes(data: bytes) -> int:
    """Returns a 64-bit hash that is the same in every process."""
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")
