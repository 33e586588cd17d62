"""Route table, upstreams and members as read from the store's records."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, NamedTuple

import logbook
from reactivex.subject import Subject

from ..feed.exceptions import FeedError
from ..feed.members import Member
from .changes import (
    ConfigurationChange,
    EvacuationChange,
    InvalidConfiguration,
    MemberChange,
    UpstreamChange,
)

if TYPE_CHECKING:
    from ..balancing.upstream import Upstream
    from ..routes.route_table import RouteTable
    from .changes import Change

# Upstreams whose entries expired while the store was unavailable register again within
# this time if they are alive.
REREGISTRATION_GRACE_S = 2.2

logger = logbook.Logger("verbenacross.node.knowledge")


class UpstreamEntry(NamedTuple):
    """The latest entry of an upstream; ``upstream`` is ``None`` after its removal.

    ``is_suspect`` states that the entry is removed but the upstream may register again.
    """

    upstream: Upstream | None
    revision: int
    is_suspect: bool = False


class EvacuationEntry(NamedTuple):
    """The latest state of a failure domain that is or was evacuated."""

    is_evacuated: bool
    revision: int


class DiscoveryState:
    """Route table, upstreams, members and evacuations, by the store's revisions.

    ``table_changes`` emits each route table that comes into force, ``upstream_changes``
    the id of each upstream whose entry changed, ``instance_count_changes`` the number
    of instances, ``evacuation_changes`` the evacuated failure domains. ``loaded`` is
    set once requests can be served. Configurations, upstream changes and evacuations
    may be applied more than once and in any order: older ones are ignored.
    """

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.entries: dict[str, UpstreamEntry] = {}
        self.members: dict[str, Member] = {}
        self.evacuated_domains: set[str] = set()
        self.loaded = asyncio.Event()
        self.table_changes: Subject[RouteTable] = Subject()
        self.upstream_changes: Subject[str] = Subject()
        self.instance_count_changes: Subject[int] = Subject()
        self.evacuation_changes: Subject[set[str]] = Subject()
        self._evacuations: dict[str, EvacuationEntry] = {}
        self._invalid_revision = 0
        self._suspects_expire_at = 0.0

    def is_loaded(self) -> bool:
        """Returns whether requests can be served: routes and entries are known."""
        return self.table is not None and bool(self.entries)

    def apply(self, change: Change, source: str) -> None:
        """Applies a change; ``source`` names where it was read, for the log."""
        match change:
            case ConfigurationChange():
                self._apply_configuration(change, source)
            case UpstreamChange():
                self._apply_upstream(change, source)
            case MemberChange():
                self._apply_member(change)
            case EvacuationChange():
                self._apply_evacuation(change, source)
            case InvalidConfiguration(revision, reason):
                if revision > self._invalid_revision:
                    self._invalid_revision = revision
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

    def start_reregistration_grace(self) -> None:
        """Keeps upstreams that are removed from now on as suspects for a grace period.

        Called when the store is available again: entries may have expired only because
        they could not be renewed.
        """
        self._suspects_expire_at = time.monotonic() + REREGISTRATION_GRACE_S
        asyncio.get_running_loop().call_later(
            REREGISTRATION_GRACE_S, self.remove_suspects
        )

    def remove_suspects(self) -> None:
        """Removes upstreams that did not register again within the grace period."""
        if time.monotonic() < self._suspects_expire_at:
            return
        for identifier, entry in list(self.entries.items()):
            if entry.is_suspect:
                self._remove(identifier, entry.revision, "not registered again")

    def describe(self) -> dict[str, Any]:
        """Returns the content of the state dump."""
        return {
            "version": self.table.version if self.table else None,
            "upstreams": {
                identifier: entry._asdict()
                for identifier, entry in self.entries.items()
            },
            "members": sorted(self.members),
            "evacuated_domains": sorted(self.evacuated_domains),
        }

    def _apply_configuration(self, change: ConfigurationChange, source: str) -> None:
        table = change.table
        if self.table is not None and table.revision <= self.table.revision:
            return
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

    def _apply_upstream(self, change: UpstreamChange, source: str) -> None:
        previous = self.entries.get(change.id)
        if previous is not None and change.revision <= previous.revision:
            return
        if change.error:
            logger.warning(
                "invalid upstream entry",
                extra={"upstream": change.id, "reason": change.error},
            )
        if change.upstream is None:
            self._apply_removal(change, previous, source)
            return
        self.entries[change.id] = UpstreamEntry(change.upstream, change.revision)
        old = previous.upstream if previous else None
        if old is None or old._replace(cold_start_s=0) != change.upstream._replace(
            cold_start_s=0
        ):
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
        self.upstream_changes.on_next(change.id)

    def _apply_evacuation(self, change: EvacuationChange, source: str) -> None:
        domain = change.failure_domain
        previous = self._evacuations.get(domain)
        if previous is not None and change.revision <= previous.revision:
            return
        self._evacuations[domain] = EvacuationEntry(
            change.is_evacuated, change.revision
        )
        if change.is_evacuated is (domain in self.evacuated_domains):
            return
        if change.is_evacuated:
            self.evacuated_domains.add(domain)
        else:
            self.evacuated_domains.discard(domain)
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
        self.evacuation_changes.on_next(self.evacuated_domains)

    def _count_upstreams(self, failure_domain: str) -> int:
        return sum(
            entry.upstream is not None
            and entry.upstream.failure_domain == failure_domain
            for entry in self.entries.values()
        )

    def _apply_removal(
        self, change: UpstreamChange, previous: UpstreamEntry | None, source: str
    ) -> None:
        if previous is None or previous.upstream is None:
            self.entries[change.id] = UpstreamEntry(None, change.revision)
            return
        in_grace_period = time.monotonic() < self._suspects_expire_at
        if in_grace_period and not previous.upstream.draining:
            self.entries[change.id] = UpstreamEntry(
                previous.upstream, change.revision, is_suspect=True
            )
            self.upstream_changes.on_next(change.id)
            return
        self._remove(change.id, change.revision, source)

    def _remove(self, identifier: str, revision: int, source: str) -> None:
        self.entries[identifier] = UpstreamEntry(None, revision)
        logger.info(
            "upstream removed",
            extra={"upstream": identifier, "revision": revision, "source": source},
        )
        self.upstream_changes.on_next(identifier)

    def _apply_member(self, change: MemberChange) -> None:
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
