"""Description of an upstream as it registered itself."""

from __future__ import annotations

from typing import NamedTuple


class UpstreamReport(NamedTuple):
    """Identifies a report of an upstream; later reports are greater."""

    started_ms: int
    sequence: int


class Upstream(NamedTuple):
    """Description of an upstream as it registered itself.

    ``cold_start_s`` is how many more seconds it stays slow after its start.
    ``started_ms`` is the Unix time of that start; a later start under the same id is a
    new process without the state of the earlier one. ``sequence`` counts its reports
    since then.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    cold_start_s: float
    started_ms: int
    sequence: int = 0

    @property
    def report(self) -> UpstreamReport:
        """The report that this description comes from."""
        return UpstreamReport(self.started_ms, self.sequence)
