"""Distributes the requests of a route over its services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from .route import Route

# Steps by the golden ratio fill an interval evenly however many there are, so that a
# few requests of one instance already come close to the weights.
STEP = 0.6180339887498949


class DestinationChoice:
    """Distributes the requests of each route over its services by weight."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._positions: dict[tuple[str, str], float] = {}

    def choose(self, route: Route) -> str:
        """Returns the service of the next request."""
        destinations = route.destinations
        if len(destinations) == 1:
            return destinations[0].service
        position = self._positions.get(route.key)
        # Instances start at random places, or all would choose alike.
        if position is None:
            position = self._generator.random()
        else:
            position = (position + STEP) % 1.0
        self._positions[route.key] = position
        left = position * sum(destination.weight for destination in destinations)
        for destination in destinations:
            left -= destination.weight
            if left < 0:
                return destination.service
        return destinations[-1].service
