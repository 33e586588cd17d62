"""Limits on the requests and connections of callers."""

from __future__ import annotations

from typing import NamedTuple


class CallerLimits(NamedTuple):
    """Limits on the requests and connections of callers.

    ``header_timeout_s`` limits the time to receive the header of a request,
    ``idle_timeout_s`` the time that a connection may stay idle.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
