"""Counter of log lines by level."""

from __future__ import annotations

import collections


class LogLineCounter:
    """Counts the log lines of this process by level."""

    def __init__(self) -> None:
        self.by_level: collections.Counter[str] = collections.Counter()

    def increment(self, level: str) -> None:
        """Increments the count of a level."""
        self.by_level[level.lower()] += 1
