"""Durations in the platform's format: a number followed by its unit."""

from __future__ import annotations

import re

DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0}


def parse_duration(value: object) -> float:
    """Parses a duration into seconds; raises ``ValueError`` if it is malformed."""
    match = DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f"{value!r} is not a duration such as 1500ms or 2.5s")
    return float(match[1]) * SECONDS_BY_UNIT[match[2]]


def format_milliseconds(seconds: float) -> str:
    """Formats a duration given in seconds as whole milliseconds."""
    return f"{round(seconds * 1000)}ms"
