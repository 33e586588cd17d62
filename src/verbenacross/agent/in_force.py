"""The store revision that an instance has in force."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from reactivex.subject import Subject

if TYPE_CHECKING:
    from ..policy import TableProgress
    from .entry_link import EntryLink

LOST_ENTRY_S = 3.0


class InForce:
    """Minimum of the revisions that the entries of an instance have applied.

    ``changes`` emits each higher revision; the revision never falls. An entry whose
    link broke may still serve callers, so it counts for a while longer.
    """

    def __init__(self, progress: TableProgress) -> None:
        self._progress = progress
        self._links: set[EntryLink] = set()
        self._lost: set[EntryLink] = set()
        self.revision = 0
        self.changes: Subject[int] = Subject()
        progress.changes.subscribe(self.update)

    def add(self, link: EntryLink) -> None:
        """Starts to count an entry; it takes the place of a lost link, if any."""
        lost = next((each for each in self._lost if each.entry == link.entry), None)
        if lost is not None:
            self._remove(lost)
        self._links.add(link)
        self.update()

    def lose(self, link: EntryLink) -> None:
        """Stops to count an entry after a while."""
        if link in self._links:
            self._lost.add(link)
        asyncio.get_running_loop().call_later(LOST_ENTRY_S, self._remove, link)

    def update(self, _: Any = None) -> None:
        """Reads again what the entries have applied."""
        applied = [link.applied_revision for link in self._links]
        revision = min([self._progress.watermark, *applied])
        if revision > self.revision:
            self.revision = revision
            self.changes.on_next(revision)

    def _remove(self, link: EntryLink) -> None:
        self._links.discard(link)
        self._lost.discard(link)
        self.update()
