"""First live agent of each shard in rendezvous order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .rendezvous import compute_weight, find_first

if TYPE_CHECKING:
    from collections.abc import Iterable


class ShardOrder:
    """First live agent of each shard, kept up to date as members come and go.

    A change of members costs work for the changed members only: with 5,000 agents and
    32 shards a full computation hashes 160,000 times.
    """

    def __init__(self, shards: int) -> None:
        self.firsts: list[str] = [""] * shards
        self._alive: set[str] = set()

    def update(self, alive: Iterable[str]) -> None:
        """Takes the live agents."""
        fresh = set(alive)
        added = fresh - self._alive
        removed = self._alive - fresh
        self._alive = fresh
        if not added and not removed:
            return
        for shard, first in enumerate(self.firsts):
            topic = build_topic(shard)
            if not first or first in removed:
                self.firsts[shard] = find_first(fresh, topic) if fresh else ""
                continue
            weight = compute_weight(first, topic)
            for instance in added:
                candidate = compute_weight(instance, topic)
                if candidate < weight:
                    self.firsts[shard], weight = instance, candidate


def build_topic(shard: int) -> str:
    """Returns the topic of the rendezvous order of a shard."""
    return f"shard-{shard}"
