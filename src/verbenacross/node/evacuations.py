"""Failure domains that the operator has evacuated, as read from the store's records."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import logbook
from reactivex.subject import Subject

from .carried_over import CARRIED_OVER_REVISION, RecordKind, RecordName

if TYPE_CHECKING:
    from collections.abc import Callable

    from .carried_over import DeferredChanges
    from .changes import EvacuationChange

logger = logbook.Logger("verbenacross.node.knowledge")


class EvacuationEntry(NamedTuple):
    """The latest state of a failure domain that is or was evacuated.

    ``started_revisions`` are the revisions of all starts, ``is_carried_over`` states
    that the state may be later than the one in a restored store.
    """

    is_evacuated: bool
    revision: int
    started_revisions: frozenset[int] = frozenset()
    is_carried_over: bool = False


class Evacuations:
    """Evacuated failure domains, by the store's revisions in the current era.

    ``domains`` are those that are evacuated now, ``entries`` those that ever were;
    ``changes`` emits ``domains`` after each change. What is known when an era begins
    stays in force until it is written again, or until ``end_carry_over``.
    """

    def __init__(
        self, deferred: DeferredChanges, count_upstreams: Callable[[str], int]
    ) -> None:
        self.domains: set[str] = set()
        self.changes: Subject[set[str]] = Subject()
        self.entries: dict[str, EvacuationEntry] = {}
        self._deferred = deferred
        self._count_upstreams = count_upstreams

    def begin_era(self) -> None:
        """Makes all that is known older than any record of a new era."""
        self.entries = {
            domain: entry._replace(revision=CARRIED_OVER_REVISION, is_carried_over=True)
            for domain, entry in self.entries.items()
        }

    def end_carry_over(self) -> None:
        """Lets the store's records replace what is known, also older ones."""
        self.entries = {
            domain: entry._replace(is_carried_over=False)
            for domain, entry in self.entries.items()
        }

    def apply(
        self, change: EvacuationChange, source: str, *, is_restored: bool
    ) -> None:
        """Applies a change unless it is older than what is known.

        ``is_restored`` means that it was among the records of a restored store.
        """
        domain = change.failure_domain
        previous = self.entries.get(domain)
        if previous is not None and change.revision <= previous.revision:
            return
        name = RecordName(RecordKind.EVACUATION, domain)
        if is_restored and previous is not None and is_outdated(change, previous):
            self._deferred.add(name, change, source)
            return
        self._deferred.discard(name)
        started = previous.started_revisions if previous else frozenset()
        if change.is_evacuated:
            started |= {change.revision}
        self.entries[domain] = EvacuationEntry(
            change.is_evacuated, change.revision, started
        )
        if change.is_evacuated is (domain in self.domains):
            return
        if change.is_evacuated:
            self.domains.add(domain)
        else:
            self.domains.discard(domain)
        logger.info(
            "evacuation of failure domain started"
            if change.is_evacuated
            else "evacuation of failure domain ended",
            extra={
                "failure_domain": domain,
                "revision": change.revision,
                "upstreams": self._count_upstreams(domain),
                "source": source,
            },
        )
        self.changes.on_next(self.domains)


def is_outdated(change: EvacuationChange, known: EvacuationEntry) -> bool:
    """Returns whether a restored record is older than what was known before.

    A start at a revision at which none was seen was written after the restoration.
    """
    if not known.is_carried_over or change.is_evacuated is known.is_evacuated:
        return False
    return not change.is_evacuated or change.revision in known.started_revisions
