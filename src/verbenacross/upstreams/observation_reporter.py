"""Reports what this process detects about upstreams as observations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..protocol.messages import Observation
from .observation_table import DRAINING_LIFETIME_MS, MAX_LIFETIMES_MS

if TYPE_CHECKING:
    from ..infrastructure.upstream_signals import AnnouncedState
    from ..protocol.messages import ObservationKind
    from .observation_table import ObservationTable

LOAD_LIFETIME_MS = 5_000


class ObservationReporter:
    """Adds observations of this process to its table, whose ``changes`` are sent on.

    Each response of a draining upstream reports it again. The table accepts a
    repetition only if it extends the known observation by ``MIN_EXTENSIONS_S``, which
    limits how often an entry reports a draining upstream to others.
    """

    def __init__(self, table: ObservationTable, origin: str) -> None:
        self.table = table
        self._origin = origin

    def report_state(
        self, upstream: str, state: AnnouncedState, cold_start_ms: int = 0
    ) -> None:
        """Reports the state that an upstream announced in a response or endpoint."""
        match state:
            case "draining":
                self._report(upstream, "draining", DRAINING_LIFETIME_MS)
            case "cold" if cold_start_ms and not self.table.is_cold(upstream):
                self._report(upstream, "cold", cold_start_ms)

    def report_ejection(self, upstream: str, duration_ms: int) -> None:
        """Reports an ejection by this process for ``duration_ms`` milliseconds."""
        self._report(upstream, "ejected", duration_ms)

    def report_load(self, upstream: str, in_flight: int) -> None:
        """Reports the requests in flight that a load endpoint returned."""
        self._report(upstream, "load", LOAD_LIFETIME_MS, in_flight)

    def _report(
        self, upstream: str, kind: ObservationKind, lifetime_ms: int, value: int = 0
    ) -> None:
        lifetime_ms = min(lifetime_ms, MAX_LIFETIMES_MS[kind])
        observation = Observation(upstream, self._origin, kind, 0, lifetime_ms, value)
        self.table.merge([observation])
