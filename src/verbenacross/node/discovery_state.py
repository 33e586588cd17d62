"""Route table, upstreams and members as read from the store's records."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import logbook
from reactivex.subject import Subject

from ..feed.exceptions import FeedError
from ..feed.members import Member
from .carried_over import (
    CARRIED_OVER_REVISION,
    DeferredChanges,
    RecordKind,
    RecordName,
)
from .changes import (
    ConfigurationChange,
    EvacuationChange,
    InvalidConfiguration,
    MemberChange,
    UpstreamChange,
)
from .evacuations import Evacuations
from .upstream_entries import UpstreamEntries

if TYPE_CHECKING:
    from ..routes.route_table import RouteTable
    from .carried_over import DeferredChange
    from .changes import Change
    from .upstream_entries import UpstreamEntry

CONFIGURATION_NAME = RecordName(RecordKind.CONFIGURATION, "")

logger = logbook.Logger("verbenacross.node.knowledge")


class DiscoveryState:
    """Route table, upstreams, members and evacuations, by the store's positions.

    ``table_changes`` emits each route table that comes into force, ``upstream_changes``
    the id of each upstream whose entry changed, ``instance_count_changes`` the number
    of instances, ``evacuation_changes`` the evacuated failure domains. ``loaded`` is
    set once requests can be served. Configurations, upstream changes and evacuations
    may be applied more than once and in any order: older ones are ignored.

    Revisions are those of the current era. When the store has been restored from a
    copy, an older record of it is deferred: what is known stays in force until it is
    written again, or for ``CARRY_OVER_S``.
    """

    def __init__(self) -> None:
        self.era = 0
        self.table: RouteTable | None = None
        self.members: dict[str, Member] = {}
        self.loaded = asyncio.Event()
        self.table_changes: Subject[RouteTable] = Subject()
        self.instance_count_changes: Subject[int] = Subject()
        self._table_revision = 0
        self._is_table_carried_over = False
        self._carried_over_members: set[str] = set()
        self._invalid_revision = 0
        self._deferred = DeferredChanges(self._end_carry_over)
        self.upstreams = UpstreamEntries(self._deferred)
        self.evacuations = Evacuations(self._deferred, self.upstreams.count)
        self.upstream_changes = self.upstreams.changes
        self.evacuation_changes = self.evacuations.changes

    @property
    def entries(self) -> dict[str, UpstreamEntry]:
        """The latest entries of the upstreams by id."""
        return self.upstreams.by_id

    @property
    def evacuated_domains(self) -> set[str]:
        """The evacuated failure domains."""
        return self.evacuations.domains

    def is_loaded(self) -> bool:
        """Returns whether requests can be served: routes and entries are known."""
        return self.table is not None and bool(self.entries)

    def begin_era(self, era: int) -> None:
        """Prepares for the records of an era, if it is a new one."""
        if era <= self.era:
            return
        previous_era, self.era = self.era, era
        self._table_revision = self._invalid_revision = CARRIED_OVER_REVISION
        self._is_table_carried_over = True
        self.upstreams.begin_era()
        self.evacuations.begin_era()
        self._carried_over_members = set(self.members)
        if not (self.table or self.entries or self.members or self.evacuations.entries):
            # The first records after a start.
            return
        self._deferred.start()
        self.upstreams.start_reregistration_grace()
        logger.warning(
            "store was restored from a copy",
            extra={
                "era": era,
                "previous_era": previous_era,
                "version": self.table.version if self.table else None,
                "upstreams": len(self.entries),
                "members": len(self.members),
            },
        )

    def apply(self, change: Change, source: str, *, is_restored: bool = False) -> None:
        """Applies a change; ``source`` names where it was read, for the log.

        ``is_restored`` means that it was among the records of a restored store, so it
        may have been written before the restoration or after it.
        """
        match change:
            case ConfigurationChange():
                self._apply_configuration(change, source)
            case UpstreamChange():
                self.upstreams.apply(change, source, is_restored=is_restored)
            case MemberChange():
                self._apply_member(change, source)
            case EvacuationChange():
                self.evacuations.apply(change, source, is_restored=is_restored)
            case InvalidConfiguration(revision, reason):
                if revision > self._invalid_revision:
                    self._invalid_revision = revision
                    self._deferred.discard(CONFIGURATION_NAME)
                    logger.error(
                        "configuration cannot be used, the last one stays in force",
                        extra={"revision": revision, "reason": reason},
                    )
        if self.is_loaded():
            self.loaded.set()

    def get_members(self) -> list[Member]:
        """Returns the registered instances."""
        return list(self.members.values())

    def count_instances(self) -> int:
        """Returns the number of instances, as reported by the members."""
        return max(1, sum(member.instances for member in self.members.values()))

    def describe(self) -> dict[str, Any]:
        """Returns the content of the state dump."""
        return {
            "version": self.table.version if self.table else None,
            "upstreams": self.upstreams.describe(),
            "members": sorted(self.members),
            "evacuated_domains": sorted(self.evacuated_domains),
            "era": self.era,
            "deferred": self._deferred.describe(),
        }

    def _apply_configuration(self, change: ConfigurationChange, source: str) -> None:
        table = change.table
        if self.table is not None and table.revision <= self._table_revision:
            return
        if (
            self.table is not None
            and self._is_table_carried_over
            and table.version < self.table.version
        ):
            self._deferred.add(CONFIGURATION_NAME, change, source)
            return
        self._deferred.discard(CONFIGURATION_NAME)
        self._is_table_carried_over = False
        self._table_revision = table.revision
        self.table = table
        logger.info(
            "configuration in force",
            extra={
                "version": table.version,
                "revision": table.revision,
                "routes": len(table.routes),
                "customers": len(table.customers.by_name) if table.customers else 0,
                "source": source,
            },
        )
        self.table_changes.on_next(table)

    def _end_carry_over(self, kind: RecordKind, deferred: list[DeferredChange]) -> None:
        """Uses the store's records of a kind, whatever was known before."""
        match kind:
            case RecordKind.CONFIGURATION:
                self._is_table_carried_over = False
            case RecordKind.UPSTREAM:
                self.upstreams.end_carry_over()
            case RecordKind.EVACUATION:
                self.evacuations.end_carry_over()
            case RecordKind.MEMBER:
                self._carried_over_members.clear()
        logger.info(
            "records of the restored store in use",
            extra={"kind": kind, "era": self.era, "deferred": len(deferred)},
        )
        for change, source in deferred:
            self.apply(change, source)

    def _apply_member(self, change: MemberChange, source: str) -> None:
        name = RecordName(RecordKind.MEMBER, change.instance)
        if change.data is None and change.instance in self._carried_over_members:
            self._deferred.add(name, change, source)
            return
        self._carried_over_members.discard(change.instance)
        self._deferred.discard(name)
        if change.data is None:
            self.members.pop(change.instance, None)
        else:
            try:
                member = Member.from_data(change.instance, change.data)
            except FeedError as error:
                logger.warning("invalid member record", extra={"reason": str(error)})
                return
            self.members[change.instance] = member
        logger.info(
            "members changed",
            extra={
                "instance": change.instance,
                "revision": change.revision,
                "is_present": change.data is not None,
                "members": len(self.members),
                "instances": self.count_instances(),
            },
        )
        self.instance_count_changes.on_next(self.count_instances())
