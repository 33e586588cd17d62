"""Outcome of one attempt on an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ..infrastructure.upstream_signals import AnnouncedState, LoadReport


class AttemptOutcome(NamedTuple):
    """Outcome of one attempt on an upstream.

    ``latency_s`` is the time from sending to the end of the response, in seconds.
    ``failed`` means a server error, a broken connection or a missed deadline; ``shed``
    means that the upstream rejected the request without running it; ``cancelled`` means
    that the caller disconnected, which says nothing about the upstream.
    """

    latency_s: float
    failed: bool = False
    shed: bool = False
    cancelled: bool = False
    load: LoadReport | None = None
    announced_state: AnnouncedState = "live"
