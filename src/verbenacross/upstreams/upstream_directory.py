"""Directory of the instances in the platform's list, by service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from reactivex.subject import Subject

from ..protocol.messages import DirectoryUpdates

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ..infrastructure.instance_list import Instance

# 256 KB of instances with identifiers of the maximum length stay below the message
# limit of 2 MB.
MAX_PART_INSTANCES = 1_000


class UpstreamDirectory:
    """Instances of the platform's list, indexed by id and by service.

    ``changes`` emits the changed and removed instances after each update.
    """

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.version = 0
        self.changes: Subject[DirectoryUpdates] = Subject()
        self._by_service: dict[str, dict[str, Instance]] = {}
        self._received_instances: dict[str, Instance] = {}

    def get_instances(self, service: str) -> tuple[Instance, ...]:
        """Returns the instances of a service."""
        return tuple(self._by_service.get(service, {}).values())

    def replace(self, instances: Iterable[Instance]) -> DirectoryUpdates | None:
        """Replaces all instances; returns the changes, ``None`` if there are none."""
        listed = {instance.id: instance for instance in instances}
        return self._apply_complete(listed, self.version + 1)

    def apply(self, updates: DirectoryUpdates) -> None:
        """Applies changes; the last part of a complete update replaces everything."""
        if not updates.complete:
            self._apply_changes(updates)
            return
        if updates.part == 0:
            self._received_instances = {}
        self._received_instances.update(
            (instance.id, instance) for instance in updates.changed
        )
        if updates.part + 1 < updates.parts:
            return
        listed, self._received_instances = self._received_instances, {}
        self._apply_complete(listed, updates.version)

    def iter_complete_update(self) -> Iterator[DirectoryUpdates]:
        """Yields the parts of a complete update with all instances."""
        instances = tuple(self.instances.values())
        parts = max(1, -(-len(instances) // MAX_PART_INSTANCES))
        for part in range(parts):
            start = part * MAX_PART_INSTANCES
            chunk = instances[start : start + MAX_PART_INSTANCES]
            yield DirectoryUpdates(self.version, True, chunk, (), part, parts)

    def _apply_complete(
        self, listed: dict[str, Instance], version: int
    ) -> DirectoryUpdates | None:
        changed = tuple(
            instance
            for identifier, instance in listed.items()
            if self.instances.get(identifier) != instance
        )
        removed = tuple(set(self.instances) - set(listed))
        if not changed and not removed:
            self.version = version
            return None
        updates = DirectoryUpdates(version, False, changed, removed)
        self._apply_changes(updates)
        return updates

    def _apply_changes(self, updates: DirectoryUpdates) -> None:
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
        instances = self._by_service[known.service]
        del instances[identifier]
        if not instances:
            del self._by_service[known.service]
