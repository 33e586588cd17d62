"""Tracks the store revision that is in force on an instance."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from reactivex.subject import Subject

if TYPE_CHECKING:
    from ..policy import TableProgress
    from .entry_link import EntryLink

DISCONNECTED_ENTRY_LIFETIME_S = 3.0


class InForceTracker:
    """Tracks the lowest revision applied by the entries of an instance.

    ``changes`` emits each increase of ``revision``, which never decreases. An entry
    whose link broke may still serve callers, so it counts for another
    ``DISCONNECTED_ENTRY_LIFETIME_S``.
    """

    def __init__(self, progress: TableProgress) -> None:
        self._progress = progress
        self._links: set[EntryLink] = set()
        self._disconnected: set[EntryLink] = set()
        self.revision = 0
        self.changes: Subject[int] = Subject()
        progress.changes.subscribe(self.update)

    def add(self, link: EntryLink) -> None:
        """Adds the link of an entry and removes its earlier, disconnected link."""
        replaced = next(
            (other for other in self._disconnected if other.entry == link.entry), None
        )
        if replaced is not None:
            self._remove(replaced)
        self._links.add(link)
        self.update()

    def mark_disconnected(self, link: EntryLink) -> None:
        """Schedules the removal of an entry whose link was closed."""
        if link in self._links:
            self._disconnected.add(link)
        asyncio.get_running_loop().call_later(
            DISCONNECTED_ENTRY_LIFETIME_S, self._remove, link
        )

    def update(self, _: Any = None) -> None:
        """Recomputes the revision from what the entries have applied."""
        applied = [link.applied_revision for link in self._links]
        revision = min([self._progress.watermark, *applied])
        if revision > self.revision:
            self.revision = revision
            self.changes.on_next(revision)

    def _remove(self, link: EntryLink) -> None:
        self._links.discard(link)
        self._disconnected.discard(link)
        self.update()
