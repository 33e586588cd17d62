"""Counts log lines by level."""

from __future__ import annotations

import collections


class LogCounts:
    """Number of log lines that this process wrote, by level."""

    def __init__(self) -> None:
        self.by_level: collections.Counter[str] = collections.Counter()

    def count(self, level: str) -> None:
        """Counts one line."""
        self.by_level[level.lower()] += 1
