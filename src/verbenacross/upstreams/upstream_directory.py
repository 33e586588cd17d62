"""Instances of the platform's list, by service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from reactivex.subject import Subject

from ..protocol.messages import DirectoryUpdates

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ..infrastructure.instance_list import Instance

# 256 KB of instances with identifiers of the greatest length stay below the message
# limit of 2 MB.
MAX_PART_INSTANCES = 1_000


class UpstreamDirectory:
    """Instances of the platform's list, by id and by service.

    ``changes`` emits what differs after each update.
    """

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.version = 0
        self.changes: Subject[DirectoryUpdates] = Subject()
        self._by_service: dict[str, dict[str, Instance]] = {}
        self._parts: dict[str, Instance] = {}

    def get_service(self, service: str) -> tuple[Instance, ...]:
        """Returns the instances of a service."""
        return tuple(self._by_service.get(service, {}).values())

    def replace(self, instances: Iterable[Instance]) -> DirectoryUpdates | None:
        """Takes a whole list and returns what changed, or ``None``."""
        fresh = {instance.id: instance for instance in instances}
        return self._take_complete(fresh, self.version + 1)

    def apply(self, updates: DirectoryUpdates) -> None:
        """Takes changes; the last part of a complete update replaces everything."""
        if not updates.complete:
            self._take(updates)
            return
        if updates.part == 0:
            self._parts = {}
        self._parts.update((instance.id, instance) for instance in updates.changed)
        if updates.part + 1 < updates.parts:
            return
        fresh, self._parts = self._parts, {}
        self._take_complete(fresh, updates.version)

    def build_complete(self) -> Iterator[DirectoryUpdates]:
        """Yields the parts of an update with everything known."""
        instances = tuple(self.instances.values())
        parts = max(1, -(-len(instances) // MAX_PART_INSTANCES))
        for part in range(parts):
            start = part * MAX_PART_INSTANCES
            chunk = instances[start : start + MAX_PART_INSTANCES]
            yield DirectoryUpdates(self.version, True, chunk, (), part, parts)

    def _take_complete(
        self, fresh: dict[str, Instance], version: int
    ) -> DirectoryUpdates | None:
        changed = tuple(
            instance
            for identifier, instance in fresh.items()
            if self.instances.get(identifier) != instance
        )
        removed = tuple(set(self.instances) - set(fresh))
        if not changed and not removed:
            self.version = version
            return None
        updates = DirectoryUpdates(version, False, changed, removed)
        self._take(updates)
        return updates

    def _take(self, updates: DirectoryUpdates) -> None:
        for identifier in updates.removed:
            self._remove(identifier)
        for instance in updates.changed:
            self._remove(instance.id)
            self.instances[instance.id] = instance
            self._by_service.setdefault(instance.service, {})[instance.id] = instance
        self.version = updates.version
        self.changes.on_next(updates)

    def _remove(self, identifier: str) -> None:
        known = self.instances.pop(identifier, None)
        if known is None:
            return
        group = self._by_service[known.service]
        del group[identifier]
        if not group:
            del self._by_service[known.service]
