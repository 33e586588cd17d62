"""Retry budget of one service."""

from __future__ import annotations

INITIAL_TOKENS = 10.0
MAX_TOKENS = 100.0


class RetryBudget:
    """Retry budget of one service in one entry, kept as a token bucket.

    Every successful request adds a fraction of a token, every retry costs one.
    A service without traffic starts with ``INITIAL_TOKENS``. The bucket is capped at
    ``MAX_TOKENS``, so that a long run of successes cannot fund a retry storm.
    """

    __slots__ = ("spent", "tokens")

    def __init__(self) -> None:
        self.tokens = INITIAL_TOKENS
        self.spent = 0

    def record_success(self, ratio: float) -> None:
        """Adds ``ratio`` tokens for a successful request.

        ``ratio`` is the policy's ``budget_ratio``.
        """
        self.tokens = min(MAX_TOKENS, self.tokens + ratio)

    def try_spend(self, ratio: float) -> bool:
        """Spends a token on a retry; returns whether one was available.

        A ratio of 0 allows no retry at all.
        """
        if ratio == 0 or self.tokens < 1:
            return False
        self.tokens -= 1
        self.spent += 1
        return True
