"""Changes of a restored store that are older than what this instance knows."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import logbook

from .changes import EvacuationChange, MemberChange

if TYPE_CHECKING:
    from collections.abc import Callable

    from .changes import Change

logger = logbook.Logger("verbenacross.node.knowledge")


class RecordKind(StrEnum):
    """Kinds of records whose older versions are used at different times."""

    CONFIGURATION = "configuration"
    UPSTREAM = "upstream"
    EVACUATION = "evacuation"
    MEMBER = "member"


# For how long what an instance knows outweighs older records of a restored store, in
# seconds. Operators write again what was lost, by hand or with a tool; an evacuation
# that they have ended meanwhile leaves upstreams unused for so long. The store
# removes the entries of upstreams after three heartbeats of about 2 s without a report,
# and its time begins a few seconds before or after that of an instance. Records of
# instances expire with their lease.
CARRY_OVER_S = {
    RecordKind.CONFIGURATION: 300.0,
    RecordKind.UPSTREAM: 12.0,
    RecordKind.EVACUATION: 60.0,
    RecordKind.MEMBER: 12.0,
}


# Revision of what was known before the current era; those of the store are above 0.
CARRIED_OVER_REVISION = -1
# Revision of deferred changes of an earlier era: above the one of what was known then,
# below all of the current era.
EARLIER_ERA_REVISION = 0


class RecordName(NamedTuple):
    """Names a record within its kind."""

    kind: RecordKind
    name: str


class DeferredChange(NamedTuple):
    """A change that is not used yet, and where it was read."""

    change: Change
    source: str


class DeferredChanges:
    """Changes of a restored store that are not used until their kind's time is over.

    ``on_expired`` receives the kind and its deferred changes at that time. Only the
    latest change of a record is kept.
    """

    def __init__(
        self, on_expired: Callable[[RecordKind, list[DeferredChange]], None]
    ) -> None:
        self._on_expired = on_expired
        self._changes: dict[RecordName, DeferredChange] = {}
        self._timers: dict[RecordKind, asyncio.TimerHandle] = {}

    def start(self) -> None:
        """Starts the time of every kind anew; keeps the changes.

        The records of a later era replace those changes that they contradict.
        """
        self._changes = {
            name: deferred._replace(change=renumber(deferred.change))
            for name, deferred in self._changes.items()
        }
        loop = asyncio.get_running_loop()
        for kind, delay_s in CARRY_OVER_S.items():
            if kind in self._timers:
                self._timers[kind].cancel()
            self._timers[kind] = loop.call_later(delay_s, self._expire, kind)

    def add(self, name: RecordName, change: Change, source: str) -> None:
        """Defers a change; replaces an earlier one of the same record."""
        self._changes[name] = DeferredChange(change, source)
        logger.info(
            "older record of the restored store not used",
            extra={"kind": name.kind, "record": name.name, "source": source},
        )

    def discard(self, name: RecordName) -> None:
        """Drops the change of a record, which was replaced by a newer one."""
        self._changes.pop(name, None)

    def describe(self) -> list[str]:
        """Returns the names of the records, for the state dump."""
        return [f"{kind} {name}" for kind, name in sorted(self._changes)]

    def _expire(self, kind: RecordKind) -> None:
        del self._timers[kind]
        names = [name for name in self._changes if name.kind is kind]
        self._on_expired(kind, [self._changes.pop(name) for name in names])


def renumber(change: Change) -> Change:
    """Makes a change of an earlier era older than all of the current one.

    The store does not say again that a record is missing; a record that exists comes
    with the new era.
    """
    match change:
        case EvacuationChange() | MemberChange():
            return change._replace(revision=EARLIER_ERA_REVISION)
    return change
