"""Detects upstreams that were replaced by another server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..infrastructure.instance_list import Instance
    from ..protocol.messages import DirectoryUpdates
    from .observation_table import ObservationTable
    from .upstream_directory import UpstreamDirectory

MAX_REMOVED_IDS = 4_096


class ReplacementDetector:
    """Discards the observations of an id that moves to another address.

    An id that returns at the same address keeps them: the instance list lags and may
    have returned an old state, and the server may still be draining.
    """

    def __init__(self, directory: UpstreamDirectory, table: ObservationTable) -> None:
        self._table = table
        self._directory = directory
        self._known: dict[str, Instance] = {}
        directory.changes.subscribe(self._handle_updates)

    def _handle_updates(self, updates: DirectoryUpdates) -> None:
        for instance in updates.changed:
            known = self._known.pop(instance.id, None)
            if known is not None and known.address != instance.address:
                self._table.discard(instance.id)
            self._known[instance.id] = instance
        if len(self._known) > len(self._directory.instances) + MAX_REMOVED_IDS:
            self._known = dict(self._directory.instances)
