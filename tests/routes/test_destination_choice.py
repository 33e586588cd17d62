"""Distribution of a route's requests over its weighted services."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from verbenacross.routes.destination_selector import DestinationSelector
from verbenacross.routes.route import WeightedService

from .builders import build_route

# The requirement allows a service's share of the requests to deviate from its weight by
# this much.
ALLOWED_ERROR = 0.1


@pytest.mark.parametrize("weights", [(90, 10), (50, 30, 20), (1, 0), (0.2, 0.8)])
@pytest.mark.parametrize("instances", [1, 13, 134])
def test_weights_hold_over_all_instances_with_few_requests(weights, instances):
    destinations = tuple(
        WeightedService(f"s{index}", weight) for index, weight in enumerate(weights)
    )
    route = build_route(destinations=destinations)
    selectors = [
        DestinationSelector(random.Random(number)) for number in range(instances)
    ]
    generator = random.Random(7)

    counts = Counter(generator.choice(selectors).select(route) for _ in range(300))

    for destination in destinations:
        expected = destination.weight / sum(weights)
        actual = counts[destination.service] / 300
        assert abs(actual - expected) <= ALLOWED_ERROR


def test_single_destination():
    route = build_route()

    assert DestinationSelector(random.Random(1)).select(route) == "service-a"
