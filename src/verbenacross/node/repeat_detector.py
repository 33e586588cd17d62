"""Tells requests that callers send again from their first ones."""

from __future__ import annotations

from typing import NamedTuple

# Callers wait for about the same time in all; a request with less than this share of
# the longest time left has been sent before.
REPEAT_SHARE = 0.8
# The longest time is forgotten after this time, in seconds, as callers change.
LIFETIME_S = 60.0


class LongestTime(NamedTuple):
    """The longest time left of the requests on a route, and when it was seen."""

    remaining_s: float
    seen_at: float


class RepeatDetector:
    """Detects repeated requests by the time that their callers still wait.

    Each request has an id of its own, and repeats reach other instances, so nothing
    else tells them from first ones.
    """

    def __init__(self) -> None:
        self._longest: dict[tuple[str, str], LongestTime] = {}

    def is_repeat(
        self, route: tuple[str, str], remaining_s: float | None, now: float
    ) -> bool:
        """Returns whether a request on a route has probably been sent before."""
        if remaining_s is None:
            return False
        longest = self._longest.get(route)
        if (
            longest is None
            or remaining_s >= longest.remaining_s
            or now - longest.seen_at > LIFETIME_S
        ):
            self._longest[route] = LongestTime(remaining_s, now)
            return False
        return remaining_s < REPEAT_SHARE * longest.remaining_s

    def forget(self, routes: set[tuple[str, str]]) -> None:
        """Forgets all routes but these."""
        for route in self._longest.keys() - routes:
            del self._longest[route]
