"""Weighted selection of a route's destination service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from .route import Route

# Steps of the golden ratio cover an interval evenly after any number of steps, so that
# few requests of one instance already come close to the weights.
GOLDEN_RATIO_STEP = 0.6180339887498949


class DestinationSelector:
    """Selects the destination service of each request in proportion to the weights."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._positions: dict[tuple[str, str], float] = {}

    def select(self, route: Route) -> str:
        """Returns the service for the next request of a route."""
        destinations = route.destinations
        if len(destinations) == 1:
            return destinations[0].service
        position = self._positions.get(route.key)
        # Each instance starts at a random position. Otherwise all instances would make
        # the same selections.
        if position is None:
            position = self._generator.random()
        else:
            position = (position + GOLDEN_RATIO_STEP) % 1.0
        self._positions[route.key] = position
        remaining = position * sum(destination.weight for destination in destinations)
        for destination in destinations:
            remaining -= destination.weight
            if remaining < 0:
                return destination.service
        return destinations[-1].service
