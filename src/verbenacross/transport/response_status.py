"""Statuses of upstreams' responses."""

from __future__ import annotations

from .exceptions import UnusableAnswerError

# A final response has one of these statuses; callers may not parse others (RFC 9110,
# section 15). The HTTP client handles interim responses except for 101.
FIRST_FINAL_STATUS = 200
LAST_FINAL_STATUS = 599


def validate_status(status: int) -> None:
    """Raises ``UnusableAnswerError`` unless a status is that of a final response."""
    if not FIRST_FINAL_STATUS <= status <= LAST_FINAL_STATUS:
        raise UnusableAnswerError(f"the response has no final status: {status:03}")
