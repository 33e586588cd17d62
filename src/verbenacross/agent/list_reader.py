"""Decides which changes of the lagging instance list are news."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

from ..protocol.messages import DirectoryEntry
from ..upstreams.directory_replica import RECENT_CHANGE_S

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..infrastructure.instance_list import Instance
    from ..upstreams.directory_replica import DirectoryReplica

MAX_HOLD_DOUBLINGS = 6


class Difference(NamedTuple):
    """A listed value that differs from the replica, since a monotonic time."""

    listed: Instance | None
    since: float


class ListReader:
    """Turns readings of the instance list into entries of the replica.

    Readers see the same changes with different lags, and a reading has no version.
    A change that a reader sees is news if the replica did not change recently, or if
    this reader's list had itself reached the replica's current value. Any other change
    may be an old one seen late: it is held, and proposed only if the list still
    differs after ``RECENT_CHANGE_S``. The hold of an id doubles with each such
    proposal, so a list replica that never advances causes few changes.
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
        self._listed: dict[str, Instance] | None = None
        self._reading: tuple[Instance, ...] | None = None
        self._merges = 0
        self._moved_at: dict[str, float] = {}
        self._differences: dict[str, Difference] = {}
        self._doublings: dict[str, int] = {}

    def reset(self) -> None:
        """Forgets earlier readings, after a time in which no list was read."""
        self._listed = None
        self._reading = None
        self._moved_at = {}
        self._differences = {}

    def take(self, reading: tuple[Instance, ...]) -> tuple[DirectoryEntry, ...]:
        """Takes a reading and returns the entries that the replica took from it."""
        if self._replica.is_empty():
            return self._take_first(reading)
        if self._is_settled(reading):
            return ()
        fresh = {instance.id: instance for instance in reading}
        before = self._listed
        now = self._clock()
        news = [
            (key, fresh.get(key))
            for key in self._find_differing(fresh)
            if self._is_news(key, fresh.get(key), before, now)
        ]
        self._note_moves(fresh, before, now)
        self._listed = fresh
        taken = self._replica.record_changes(self._origin, news) if news else ()
        self._reading = reading
        self._merges = self._replica.merge_count
        return taken

    def _is_settled(self, reading: tuple[Instance, ...]) -> bool:
        """Returns whether the same reading was found equal to the same replica."""
        return (
            reading is self._reading
            and self._merges == self._replica.merge_count
            and not self._differences
        )

    def _take_first(self, reading: Iterable[Instance]) -> tuple[DirectoryEntry, ...]:
        # The same version and no origin on every agent, so that agents which start
        # from the same list agree without any traffic.
        self._listed = {instance.id: instance for instance in reading}
        entries = [DirectoryEntry(key, 1, "", i) for key, i in self._listed.items()]
        return self._replica.merge(entries)

    def _find_differing(self, fresh: dict[str, Instance]) -> list[str]:
        known = self._replica.directory.instances
        if known == fresh:
            self._differences.clear()
            return []
        differing = [key for key, item in fresh.items() if known.get(key) != item]
        differing += [key for key in known if key not in fresh]
        kept = set(differing)
        for key in list(self._differences):
            if key not in kept:
                del self._differences[key]
        return differing

    def _is_news(
        self,
        key: str,
        listed: Instance | None,
        before: dict[str, Instance] | None,
        now: float,
    ) -> bool:
        if before is not None and before.get(key) != listed:
            if self._follows(key, before.get(key)):
                self._differences.pop(key, None)
                return True
            self._differences[key] = Difference(listed, now)
            return False
        held = self._differences.get(key)
        if held is None or held.listed != listed:
            self._differences[key] = Difference(listed, now)
            return False
        doublings = self._doublings.get(key, 0)
        if now - held.since < RECENT_CHANGE_S * 2**doublings:
            return False
        self._doublings[key] = min(doublings + 1, MAX_HOLD_DOUBLINGS)
        del self._differences[key]
        return True

    def _follows(self, key: str, previous: Instance | None) -> bool:
        """Returns whether the list had reached the replica's value before it moved."""
        changed_at = self._replica.get_changed_at(key)
        if changed_at is None:
            return True
        entry = self._replica.get(key)
        if entry is None or entry.instance != previous:
            return False
        return entry.origin == self._origin or (
            self._moved_at.get(key, -1.0) >= changed_at
        )

    def _note_moves(
        self, fresh: dict[str, Instance], before: dict[str, Instance] | None, now: float
    ) -> None:
        for key, since in list(self._moved_at.items()):
            if now - since > RECENT_CHANGE_S:
                del self._moved_at[key]
        if before is None or before == fresh:
            return
        for key in before.keys() | fresh.keys():
            if before.get(key) != fresh.get(key):
                self._moved_at[key] = now
