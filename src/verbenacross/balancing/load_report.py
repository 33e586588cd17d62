"""Load report of an upstream."""

from __future__ import annotations

from typing import NamedTuple


class LoadReport(NamedTuple):
    """Load of an upstream at one point in time, as reported by itself.

    ``slowness`` is the current service time relative to the usual one.
    """

    running: int
    waiting: int
    slots: int
    slowness: float
