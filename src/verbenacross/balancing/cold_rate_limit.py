"""Limits the requests that this instance sends to upstreams that are cold.

All instances together keep to the cold rate of a service without communication: each
has its part of the rate, and random initial levels spread their requests over time.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from .tracked_upstream import TrackedUpstream

# Instances that were lost from the records for a time, for example while the store was
# unavailable, still send requests, so the largest number of this time counts, in
# seconds.
INSTANCE_COUNT_WINDOW_S = 60.0
# A token that is not used within this time is lost, in seconds. Otherwise all instances
# would hold a token after some time with little demand, and a cold upstream would
# receive as many requests as there are instances when the demand returns.
TOKEN_LIFETIME_S = 0.25
# A request follows a successful probe of the upstream that is at most this old, in
# seconds. The upstream may have become cold since, or have been restarted.
MAX_PROBE_AGE_S = 3.0


class RecentMaximum:
    """Largest value that was in force within the last ``window_s`` seconds."""

    def __init__(self, window_s: float, value: int) -> None:
        self._window_s = window_s
        self._value = value
        # Earlier values above all later ones, and when they ceased to be in force.
        self._earlier: deque[tuple[float, int]] = deque()

    def record(self, value: int, now: float) -> None:
        """Records the value that is in force from now on."""
        while self._earlier and self._earlier[-1][1] <= self._value:
            self._earlier.pop()
        self._earlier.append((now, self._value))
        self._value = value

    def get(self, now: float) -> int:
        """Returns the largest value of the window."""
        while self._earlier and self._earlier[0][0] < now - self._window_s:
            self._earlier.popleft()
        if not self._earlier:
            return self._value
        return max(self._value, self._earlier[0][1])


class ColdTokenBucket:
    """Tokens of this instance for requests to one cold upstream.

    The capacity is one token. An unused token is lost after ``TOKEN_LIFETIME_S``, and
    the time of the next one does not depend on whether it was used.
    """

    __slots__ = ("_level", "_updated_at")

    def __init__(self, level: float, now: float) -> None:
        self._level = level
        self._updated_at = now

    def has_token(self, rate: float, now: float) -> bool:
        """Returns whether a token is available."""
        self._refill(rate, now)
        return self._level >= 1.0

    def take(self, rate: float, now: float) -> None:
        """Takes the token that is available."""
        self._refill(rate, now)
        self._level = max(0.0, self._level - 1.0)

    def give_back(self, rate: float, now: float) -> None:
        """Gives back a token that was not used."""
        self._refill(rate, now)
        self._level += 1.0
        self._discard(rate)

    def _refill(self, rate: float, now: float) -> None:
        self._level += max(0.0, now - self._updated_at) * rate
        self._updated_at = now
        self._discard(rate)

    def _discard(self, rate: float) -> None:
        """Discards tokens above the capacity and those that were not used in time."""
        usable = TOKEN_LIFETIME_S * rate
        if usable >= 1.0:
            # The next token arrives before this one is lost.
            self._level = min(1.0, self._level)
        elif self._level >= 1.0:
            excess = self._level - math.floor(self._level)
            self._level = excess if excess >= usable else 1.0 + excess


class ColdRateLimit:
    """Limits the requests of this instance to the cold upstreams of one service.

    ``rate`` is the cold rate of the service, in requests per second to one upstream
    from all instances; 0 means no limit. ``instances`` is the number of instances.
    ``used`` counts the requests to cold upstreams.
    """

    def __init__(self, generator: random.Random, instances: RecentMaximum) -> None:
        self.rate = 0.0
        self.instances = instances
        self.used = 0
        # Longest time since a probe, in seconds; longer than ``MAX_PROBE_AGE_S`` only
        # if the probe budget requires so.
        self.max_probe_age_s = MAX_PROBE_AGE_S
        self._generator = generator

    @property
    def is_enabled(self) -> bool:
        """Whether the service has a cold rate."""
        return self.rate > 0.0

    def is_cold(self, tracked: TrackedUpstream, now: float) -> bool:
        """Returns whether the limit applies to an upstream now."""
        return self.is_enabled and now < tracked.cold_until

    def allows(self, tracked: TrackedUpstream, now: float) -> bool:
        """Returns whether a request may be assigned to an upstream now.

        One that was not probed since it was unreachable may be cold.
        """
        if not self.is_enabled:
            return True
        if now - tracked.probed_at > self.max_probe_age_s:
            return False
        return not self.is_cold(tracked, now) or self.has_token(tracked, now)

    def has_token(self, tracked: TrackedUpstream, now: float) -> bool:
        """Returns whether a token for a cold upstream is available."""
        return self._get_bucket(tracked, now).has_token(self._get_part(now), now)

    def take(self, tracked: TrackedUpstream, now: float) -> bool:
        """Takes a token for a request; returns whether the upstream is cold."""
        if not self.is_cold(tracked, now):
            return False
        self.used += 1
        self._get_bucket(tracked, now).take(self._get_part(now), now)
        return True

    def give_back(self, tracked: TrackedUpstream, now: float) -> None:
        """Gives back the token of a request that was not sent."""
        self.used -= 1
        self._get_bucket(tracked, now).give_back(self._get_part(now), now)

    def _get_part(self, now: float) -> float:
        """Returns this instance's part of the rate."""
        return self.rate / max(1, self.instances.get(now))

    def _get_bucket(self, tracked: TrackedUpstream, now: float) -> ColdTokenBucket:
        # Kept while the upstream is not cold: a new random level each time it becomes
        # cold again would yield more tokens than the rate.
        if tracked.cold_tokens is None:
            tracked.cold_tokens = ColdTokenBucket(self._generator.random(), now)
        return tracked.cold_tokens
