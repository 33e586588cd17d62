"""Detects current changes in snapshots of an eventually consistent instance list."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

from ..protocol.messages import DirectoryEntry
from ..upstreams.directory_replica import RECENT_CHANGE_S

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..infrastructure.instance_list import Instance
    from ..upstreams.directory_replica import DirectoryReplica

MAX_DELAY_DOUBLINGS = 6


class PendingDifference(NamedTuple):
    """A listed value that has differed from the replica since a monotonic time.

    ``listed`` is ``None`` if the list lacks an instance that the replica has.
    """

    listed: Instance | None
    since: float


class ListChangeDetector:
    """Applies the changes in snapshots of the instance list to the replica.

    Readers see the same changes with different lags, and a snapshot has no version. A
    change is applied at once if the replica's value has not changed recently, or if the
    list of this reader had already reached that value. Any other change may be an old
    one that arrives late: it is kept pending and applied only if the list still differs
    after ``RECENT_CHANGE_S``. This delay doubles for an id each time it elapses, so
    that a replica of the list service that never advances causes few changes.
    """

    def __init__(
        self,
        replica: DirectoryReplica,
        origin: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._replica = replica
        self._origin = origin
        self._clock = clock
        self._previous: dict[str, Instance] | None = None
        self._last_snapshot: tuple[Instance, ...] | None = None
        self._last_merge_count = 0
        self._list_changed_at: dict[str, float] = {}
        self._pending_differences: dict[str, PendingDifference] = {}
        self._doublings: dict[str, int] = {}

    def reset(self) -> None:
        """Discards earlier snapshots, for an agent that does not read the list."""
        self._previous = None
        self._last_snapshot = None
        self._list_changed_at = {}
        self._pending_differences = {}

    def process(self, snapshot: tuple[Instance, ...]) -> tuple[DirectoryEntry, ...]:
        """Applies the changes in a snapshot and returns the merged entries."""
        if self._replica.is_empty():
            return self._process_first_snapshot(snapshot)
        if self._is_unchanged(snapshot):
            return ()
        current = {instance.id: instance for instance in snapshot}
        previous = self._previous
        now = self._clock()
        changes = [
            (key, current.get(key))
            for key in self._find_differing(current)
            if self._should_apply(key, current.get(key), previous, now)
        ]
        self._record_list_changes(current, previous, now)
        self._previous = current
        merged = self._replica.record_changes(self._origin, changes) if changes else ()
        self._last_snapshot = snapshot
        self._last_merge_count = self._replica.merge_count
        return merged

    def _is_unchanged(self, snapshot: tuple[Instance, ...]) -> bool:
        """Returns whether snapshot and replica have not changed since the last call.

        Always ``False`` while differences are pending, as their delay may have elapsed.
        """
        return (
            snapshot is self._last_snapshot
            and self._last_merge_count == self._replica.merge_count
            and not self._pending_differences
        )

    def _process_first_snapshot(
        self, snapshot: Iterable[Instance]
    ) -> tuple[DirectoryEntry, ...]:
        # Every agent uses the same version and an empty origin, so that agents which
        # start from the same list have equal replicas without exchanging entries.
        self._previous = {instance.id: instance for instance in snapshot}
        entries = [DirectoryEntry(key, 1, "", i) for key, i in self._previous.items()]
        return self._replica.merge(entries)

    def _find_differing(self, current: dict[str, Instance]) -> list[str]:
        """Returns the ids that differ; drops the pending ones that no longer do."""
        replicated = self._replica.directory.instances
        if replicated == current:
            self._pending_differences.clear()
            return []
        differing = [
            key for key, item in current.items() if replicated.get(key) != item
        ]
        differing += [key for key in replicated if key not in current]
        differing_keys = set(differing)
        for key in list(self._pending_differences):
            if key not in differing_keys:
                del self._pending_differences[key]
        return differing

    def _should_apply(
        self,
        key: str,
        listed: Instance | None,
        previous: dict[str, Instance] | None,
        now: float,
    ) -> bool:
        if previous is not None and previous.get(key) != listed:
            if self._had_caught_up(key, previous.get(key)):
                self._pending_differences.pop(key, None)
                return True
            self._pending_differences[key] = PendingDifference(listed, now)
            return False
        pending = self._pending_differences.get(key)
        if pending is None or pending.listed != listed:
            self._pending_differences[key] = PendingDifference(listed, now)
            return False
        doublings = self._doublings.get(key, 0)
        if now - pending.since < RECENT_CHANGE_S * 2**doublings:
            return False
        self._doublings[key] = min(doublings + 1, MAX_DELAY_DOUBLINGS)
        del self._pending_differences[key]
        return True

    def _had_caught_up(self, key: str, previous: Instance | None) -> bool:
        """Returns whether the list had the replica's value before this change."""
        changed_at = self._replica.get_changed_at(key)
        if changed_at is None:
            return True
        entry = self._replica.get(key)
        if entry is None or entry.instance != previous:
            return False
        return entry.origin == self._origin or (
            self._list_changed_at.get(key, -1.0) >= changed_at
        )

    def _record_list_changes(
        self,
        current: dict[str, Instance],
        previous: dict[str, Instance] | None,
        now: float,
    ) -> None:
        for key, since in list(self._list_changed_at.items()):
            if now - since > RECENT_CHANGE_S:
                del self._list_changed_at[key]
        if previous is None or previous == current:
            return
        for key in previous.keys() | current.keys():
            if previous.get(key) != current.get(key):
                self._list_changed_at[key] = now
