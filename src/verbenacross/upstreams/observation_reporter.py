"""Turns what a process sees of upstreams into observations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..protocol.messages import Observation
from .observation_table import DRAINING_LIFETIME_MS, MAX_LIFETIMES_MS

if TYPE_CHECKING:
    from ..infrastructure.upstream_signals import UpstreamState
    from ..protocol.messages import ObservationKind
    from .observation_table import ObservationTable

LOAD_LIFETIME_MS = 5_000


class ObservationReporter:
    """Puts what this process sees into its table, whose ``changes`` spread it.

    Each answer of a draining upstream reports it again; the table takes a repetition
    only when it extends the known observation noticeably, so an entry reports a
    draining upstream at most every two seconds.
    """

    def __init__(self, table: ObservationTable, origin: str) -> None:
        self.table = table
        self._origin = origin

    def note_state(
        self, upstream: str, state: UpstreamState, cold_start_ms: int = 0
    ) -> None:
        """Takes the state that an upstream announced on an answer or an endpoint."""
        match state:
            case "draining":
                self._take(upstream, "draining", DRAINING_LIFETIME_MS)
            case "cold" if cold_start_ms and not self.table.is_cold(upstream):
                self._take(upstream, "cold", cold_start_ms)

    def note_ejected(self, upstream: str, duration_ms: int) -> None:
        """Takes an ejection by this process for a time in milliseconds."""
        self._take(upstream, "ejected", duration_ms)

    def note_load(self, upstream: str, in_flight: int) -> None:
        """Takes the requests in flight that a load endpoint reported."""
        self._take(upstream, "load", LOAD_LIFETIME_MS, in_flight)

    def _take(
        self, upstream: str, kind: ObservationKind, lifetime_ms: int, value: int = 0
    ) -> None:
        lifetime_ms = min(lifetime_ms, MAX_LIFETIMES_MS[kind])
        seen = Observation(upstream, self._origin, kind, 0, lifetime_ms, value)
        self.table.take([seen])
