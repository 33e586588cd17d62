"""Connections of callers that this process closes, and why."""

from __future__ import annotations

import enum
from typing import NamedTuple


class CloseReason(enum.Enum):
    """Why this process closes a caller's connection."""

    RESPONSE = "response"
    IDLE = "idle"
    TOO_MANY = "too-many"
    SLOW_HEAD = "slow-head"
    STALLED = "stalled"
    TRUNCATED = "truncated"
    STOP = "stop"


class ClosedConnection(NamedTuple):
    """A caller's connection that this process closes.

    ``idle_s`` is the time since the last response, or since the connection was opened;
    ``None`` while a request is handled. ``requests`` counts the requests that were read
    on the connection, ``unanswered`` those of them without a complete response.
    """

    reason: CloseReason
    caller: str
    idle_s: float | None
    requests: int
    unanswered: int


class LateRequest(NamedTuple):
    """A request that was to begin on a connection which this process had closed."""

    request_id: str
    closed: ClosedConnection
