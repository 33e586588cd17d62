"""Preferred owner of each shard among the live agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .rendezvous import compute_hash, find_preferred

if TYPE_CHECKING:
    from collections.abc import Iterable


class ShardAssignment:
    """Maintains the preferred owner of each shard as agents join and leave.

    The preferred owner is the live agent that ranks first by rendezvous hashing. An
    update hashes only the agents that joined and the shards whose owner left, since a
    full computation takes 160,000 hashes with 5,000 agents and 32 shards.
    """

    def __init__(self, shards: int) -> None:
        self.preferred_owners: list[str] = [""] * shards
        self._alive: set[str] = set()

    def update(self, alive: Iterable[str]) -> None:
        """Updates the preferred owners for a new set of live agents."""
        current = set(alive)
        added = current - self._alive
        removed = self._alive - current
        self._alive = current
        if not added and not removed:
            return
        for shard, owner in enumerate(self.preferred_owners):
            topic = build_topic(shard)
            if not owner or owner in removed:
                self.preferred_owners[shard] = (
                    find_preferred(current, topic) if current else ""
                )
                continue
            owner_hash = compute_hash(owner, topic)
            for instance in added:
                new_hash = compute_hash(instance, topic)
                if new_hash < owner_hash:
                    self.preferred_owners[shard], owner_hash = instance, new_hash


def build_topic(shard: int) -> str:
    """Returns the rendezvous hashing topic of a shard."""
    return f"shard-{shard}"
