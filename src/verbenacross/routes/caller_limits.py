"""What a caller may send and how long it may take."""

from __future__ import annotations

from typing import NamedTuple


class CallerLimits(NamedTuple):
    """What a caller may send and how long it may take or stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
