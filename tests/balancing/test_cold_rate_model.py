"""Independent instances keep to the cold rate, on virtual time."""

from __future__ import annotations

import pytest

from measure.cold_upstreams import (
    BOUND,
    CASES,
    COLD_S,
    INSTANCES,
    RATE,
    count_most,
    run_case,
)


@pytest.mark.parametrize("instances", INSTANCES)
@pytest.mark.parametrize("name", CASES)
def test_no_upstream_gets_more_than_the_bound(name, instances):
    """Guards against choosers that together send more than a cold upstream can take."""
    case = CASES[name]
    if instances > 1_000:
        case = case._replace(upstreams=min(3, case.upstreams))
    arrivals = run_case(case, instances, seed=1)

    assert max(map(count_most, arrivals)) <= BOUND
    # Neither are most tokens lost while requests are there.
    length_s = COLD_S - case.idle_s - case.news_s
    mean = sum(map(len, arrivals)) / len(arrivals) / length_s
    assert 0.25 * RATE <= mean <= 1.1 * RATE
