"""Budget of retries for one service."""

from __future__ import annotations

INITIAL_TOKENS = 10.0
MAX_TOKENS = 100.0


class RetryBudget:
    """Budget of retries for one service in one entry.

    Every successful request adds a share of a token, every retry takes a whole one. A
    quiet service starts with ``INITIAL_TOKENS``; at most ``MAX_TOKENS`` are kept, so a
    long good time does not pay for a storm of retries.
    """

    __slots__ = ("spent", "tokens")

    def __init__(self) -> None:
        self.tokens = INITIAL_TOKENS
        self.spent = 0

    def add_success(self, ratio: float) -> None:
        """Notes a successful request; ``ratio`` is the policy's ``budget_ratio``."""
        self.tokens = min(MAX_TOKENS, self.tokens + ratio)

    def try_spend(self, ratio: float) -> bool:
        """Takes a token for a retry; returns whether there was one.

        A ratio of 0 allows no retry at all.
        """
        if ratio == 0 or self.tokens < 1:
            return False
        self.tokens -= 1
        self.spent += 1
        return True
