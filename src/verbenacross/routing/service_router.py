"""Chooses an upstream of one service."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from .upstream_state import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from ..platform.instance_list import Instance


class ServiceRouter:
    """Chooses an upstream of one service by power of two choices."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._states: dict[str, UpstreamState] = {}

    def set_instances(self, instances: Iterable[Instance]) -> None:
        """Takes the instances of the service; keeps the state of those that stay."""
        states = {}
        for instance in instances:
            known = self._states.get(instance.id)
            if known is None or known.instance.address != instance.address:
                known = UpstreamState(instance)
            known.instance = instance
            states[instance.id] = known
        self._states = states

    def choose(self, excluded: Collection[str] = ()) -> UpstreamState | None:
        """Returns an upstream for a request, or ``None`` when there is none."""
        candidates = [
            state
            for state in self._states.values()
            if state.instance.state == "live" and state.instance.id not in excluded
        ]
        if not candidates:
            return None
        first = self._generator.choice(candidates)
        second = self._generator.choice(candidates)
        return first if first.in_flight <= second.in_flight else second
