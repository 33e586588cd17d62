"""What one attempt to an upstream showed."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ..infrastructure.upstream_signals import LoadReport, UpstreamState


class AttemptOutcome(NamedTuple):
    """What one attempt to an upstream showed.

    ``latency_s`` runs from sending to the end of the answer, in seconds. ``failed``
    means a server error, a broken connection or a missed deadline; ``shed`` means that
    the upstream refused the work without running it; ``cancelled`` means that the
    caller went away, which says nothing of the upstream.
    """

    latency_s: float
    failed: bool = False
    shed: bool = False
    cancelled: bool = False
    load: LoadReport | None = None
    announced_state: UpstreamState = "live"
