"""What the balancer needs of probes."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from .load_report import LoadReport
    from .upstream import Upstream


class ProbeAnswer(NamedTuple):
    """What an upstream's health path said."""

    report: LoadReport | None
    is_well: bool


class Prober(Protocol):
    """Asks an upstream's health path."""

    async def probe(self, upstream: Upstream) -> ProbeAnswer | None:
        """Returns the answer; ``None`` without a usable one.

        Raises ``LookupError`` when another upstream answers at the address.
        """
