"""Load that an upstream reported."""

from __future__ import annotations

from typing import NamedTuple


class LoadReport(NamedTuple):
    """Load that an upstream reported at one moment.

    ``slowness`` is how long work takes there now, 1.0 meaning as usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: float
