"""Interface of the component that probes upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from .upstream_notice import NO_NOTICE, UpstreamNotice

if TYPE_CHECKING:
    from .load_report import LoadReport
    from .upstream import Upstream


class ProbeResult(NamedTuple):
    """Load, health and notice from the response of an upstream's health path.

    ``cold_s`` is for how many more seconds it is cold, ``None`` if it does not say.
    """

    report: LoadReport | None
    is_healthy: bool
    notice: UpstreamNotice = NO_NOTICE
    cold_s: float | None = None


class Prober(Protocol):
    """Requests the health path of upstreams."""

    async def probe(self, upstream: Upstream) -> ProbeResult | None:
        """Probes an upstream; returns ``None`` without a usable response.

        Raises ``LookupError`` when another upstream responds at the address.
        """
