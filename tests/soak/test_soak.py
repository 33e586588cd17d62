"""A short run of the fault soak; many seeds are played by hand (docs/OPERATIONS.md)."""

from __future__ import annotations

import pytest

from .soak import play

LENGTH_S = 6.0
SEEDS = [1, 2]


@pytest.mark.parametrize("seed", SEEDS)
async def test_promises_hold_under_faults(seed, tmp_path):
    outcome = await play(seed, LENGTH_S)
    # Shown when the test fails.
    print(outcome.report)

    assert outcome.violations == []
