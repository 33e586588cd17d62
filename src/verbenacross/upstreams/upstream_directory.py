"""Instances of the platform's list, by service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from reactivex.subject import Subject

from ..protocol.messages import DirectoryUpdates

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..platform.instance_list import Instance


class UpstreamDirectory:
    """Instances of the platform's list, by id and by service.

    ``changes`` emits the updates of each change.
    """

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.version = 0
        self.changes: Subject[DirectoryUpdates] = Subject()
        self._by_service: dict[str, tuple[Instance, ...]] = {}

    def get_service(self, service: str) -> tuple[Instance, ...]:
        """Returns the instances of a service."""
        return self._by_service.get(service, ())

    def replace(self, instances: Iterable[Instance]) -> DirectoryUpdates | None:
        """Takes a whole list and returns what changed, or ``None``."""
        fresh = {instance.id: instance for instance in instances}
        changed = tuple(
            instance
            for identifier, instance in fresh.items()
            if self.instances.get(identifier) != instance
        )
        removed = tuple(set(self.instances) - set(fresh))
        if not changed and not removed:
            return None
        updates = DirectoryUpdates(self.version + 1, False, changed, removed)
        self.apply(updates)
        return updates

    def apply(self, updates: DirectoryUpdates) -> None:
        """Takes changes; a complete update replaces everything known."""
        if updates.complete:
            self.instances = {}
        for instance in updates.changed:
            self.instances[instance.id] = instance
        for identifier in updates.removed:
            self.instances.pop(identifier, None)
        self.version = updates.version
        self._index()
        self.changes.on_next(updates)

    def build_complete(self) -> DirectoryUpdates:
        """Returns an update with everything known."""
        return DirectoryUpdates(self.version, True, tuple(self.instances.values()), ())

    def _index(self) -> None:
        by_service: dict[str, list[Instance]] = {}
        for instance in self.instances.values():
            by_service.setdefault(instance.service, []).append(instance)
        self._by_service = {name: tuple(group) for name, group in by_service.items()}
