"""Entries of upstreams as read from the store's records."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, NamedTuple

import logbook
from reactivex.subject import Subject

from .carried_over import CARRIED_OVER_REVISION, RecordKind, RecordName

if TYPE_CHECKING:
    from ..balancing.upstream import Upstream, UpstreamReport
    from .carried_over import DeferredChanges
    from .changes import UpstreamChange

# Upstreams whose entries expired while the store was unavailable register again within
# this time if they are alive.
REREGISTRATION_GRACE_S = 2.2

logger = logbook.Logger("verbenacross.node.knowledge")


class UpstreamEntry(NamedTuple):
    """The latest entry of an upstream; ``upstream`` is ``None`` after its removal.

    ``is_suspect`` states that the entry is removed but the upstream may register again,
    ``report`` the latest report that was used, ``is_carried_over`` that it may be later
    than the entry in a restored store.
    """

    upstream: Upstream | None
    revision: int
    is_suspect: bool = False
    report: UpstreamReport | None = None
    is_carried_over: bool = False


class UpstreamEntries:
    """Entries of upstreams, by the store's revisions in the current era.

    ``changes`` emits the id of each upstream whose entry changed. What is known when an
    era begins stays in use until the upstream reports again, or until
    ``end_carry_over``; older entries are deferred.
    """

    def __init__(self, deferred: DeferredChanges) -> None:
        self.by_id: dict[str, UpstreamEntry] = {}
        self.changes: Subject[str] = Subject()
        self._deferred = deferred
        self._suspects_expire_at = 0.0
        self._grace_timer: asyncio.TimerHandle | None = None

    def begin_era(self) -> None:
        """Makes all entries older than any of a new era."""
        self.by_id = {
            identifier: entry._replace(
                revision=CARRIED_OVER_REVISION, is_carried_over=True
            )
            for identifier, entry in self.by_id.items()
        }

    def end_carry_over(self) -> None:
        """Lets the store's entries replace the known ones, also older entries."""
        self.by_id = {
            identifier: entry._replace(is_carried_over=False)
            for identifier, entry in self.by_id.items()
        }

    def count(self, failure_domain: str) -> int:
        """Returns the number of upstreams in a failure domain."""
        return sum(
            entry.upstream is not None
            and entry.upstream.failure_domain == failure_domain
            for entry in self.by_id.values()
        )

    def describe(self) -> dict[str, Any]:
        """Returns the entries for the state dump."""
        return {identifier: entry._asdict() for identifier, entry in self.by_id.items()}

    def start_reregistration_grace(self) -> None:
        """Keeps upstreams that are removed from now on as suspects for a grace period.

        Called when the store is available again: entries may have expired only because
        they could not be renewed.
        """
        if self._grace_timer is not None:
            self._grace_timer.cancel()
        self._suspects_expire_at = time.monotonic() + REREGISTRATION_GRACE_S
        self._grace_timer = asyncio.get_running_loop().call_later(
            REREGISTRATION_GRACE_S, self.remove_suspects
        )

    def remove_suspects(self) -> None:
        """Removes upstreams that did not register again within the grace period."""
        for identifier, entry in list(self.by_id.items()):
            if entry.is_suspect:
                self._remove(identifier, entry.revision, "not registered again")

    def apply(self, change: UpstreamChange, source: str, *, is_restored: bool) -> None:
        """Applies a change unless it is older than what is known.

        ``is_restored`` means that it was among the records of a restored store.
        """
        previous = self.by_id.get(change.id)
        if previous is not None and change.revision <= previous.revision:
            return
        name = RecordName(RecordKind.UPSTREAM, change.id)
        if previous is not None and is_outdated(
            change, previous, is_restored=is_restored
        ):
            self._deferred.add(name, change, source)
            if previous.is_suspect:
                # The store still has an entry of it.
                self.by_id[change.id] = previous._replace(is_suspect=False)
                self.changes.on_next(change.id)
            return
        self._deferred.discard(name)
        if change.error:
            logger.warning(
                "invalid upstream entry",
                extra={"upstream": change.id, "reason": change.error},
            )
        if change.upstream is None:
            self._apply_removal(change, previous, source)
            return
        self.by_id[change.id] = UpstreamEntry(
            change.upstream, change.revision, report=change.upstream.report
        )
        old = previous.upstream if previous else None
        if (
            previous is not None
            and previous.is_carried_over
            and not previous.is_suspect
            and old == change.upstream
        ):
            # The upstream has not said anything new.
            return
        if old is None or old._replace(
            cold_start_s=0, sequence=0
        ) != change.upstream._replace(cold_start_s=0, sequence=0):
            logger.info(
                "upstream draining"
                if change.upstream.draining
                else "upstream discovered",
                extra={
                    "upstream": change.id,
                    "service": change.upstream.service,
                    "address": change.upstream.address,
                    "revision": change.revision,
                    "source": source,
                },
            )
        self.changes.on_next(change.id)

    def _apply_removal(
        self, change: UpstreamChange, previous: UpstreamEntry | None, source: str
    ) -> None:
        if previous is None:
            self.by_id[change.id] = UpstreamEntry(None, change.revision)
            return
        if previous.upstream is None:
            self.by_id[change.id] = previous._replace(revision=change.revision)
            return
        in_grace_period = time.monotonic() < self._suspects_expire_at
        if in_grace_period and not previous.upstream.draining:
            self.by_id[change.id] = previous._replace(
                revision=change.revision, is_suspect=True
            )
            self.changes.on_next(change.id)
            return
        self._remove(change.id, change.revision, source)

    def _remove(self, identifier: str, revision: int, source: str) -> None:
        self.by_id[identifier] = self.by_id[identifier]._replace(
            upstream=None, revision=revision, is_suspect=False
        )
        logger.info(
            "upstream removed",
            extra={"upstream": identifier, "revision": revision, "source": source},
        )
        self.changes.on_next(identifier)


def is_outdated(
    change: UpstreamChange, known: UpstreamEntry, *, is_restored: bool
) -> bool:
    """Returns whether a change is older than what was known before the current era.

    An entry that repeats the last report may be older than the removal of the upstream
    if it is a restored one, and than the start of its draining.
    """
    if not known.is_carried_over or change.upstream is None:
        return False
    if known.report is None:
        # Only its removal was seen.
        return is_restored
    report = change.upstream.report
    if known.upstream is None:
        is_repetition_outdated = is_restored
    else:
        is_repetition_outdated = (
            known.upstream.draining and not change.upstream.draining
        )
    return report < known.report or (is_repetition_outdated and report == known.report)
