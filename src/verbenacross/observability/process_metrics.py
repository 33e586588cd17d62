"""Metrics common to all processes."""

from __future__ import annotations

import os
import pathlib
import platform
import time
from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge

from .. import __version__
from .logs import log_line_counter

if TYPE_CHECKING:
    from aioprometheus import Registry

    from ..policy import PolicyTable

STATM_FILE = pathlib.Path("/proc/self/statm")
STARTED_AT_S = time.time()


class ProcessMetrics:
    """Metrics of a process and its policy table, updated at each scrape."""

    def __init__(self, registry: Registry, table: PolicyTable) -> None:
        self._table = table
        build = Gauge("verbenacross_build_info", "Version", registry=registry)
        build.set({"version": __version__, "python": platform.python_version()}, 1)
        started = Gauge(
            "verbenacross_start_time_seconds", "Start, Unix time", registry=registry
        )
        started.set({}, STARTED_AT_S)
        self._ready = Gauge(
            "verbenacross_ready", "1 if the process wants work", registry=registry
        )
        self._cpu_seconds = Counter(
            "verbenacross_cpu_seconds_total", "Processor time used", registry=registry
        )
        self._resident_memory = Gauge(
            "verbenacross_resident_memory_bytes", "Memory in use", registry=registry
        )
        self._log_lines = Counter(
            "verbenacross_log_lines_total", "Log lines by level", registry=registry
        )
        self._admin_requests = Counter(
            "verbenacross_admin_requests_total", "Admin requests", registry=registry
        )
        self._policy_records = Gauge(
            "verbenacross_policy_records", "Valid records by state", registry=registry
        )
        self._invalid_records = Gauge(
            "verbenacross_policy_invalid_records",
            "Records whose latest copy has findings",
            registry=registry,
        )
        self._policy_changes = Counter(
            "verbenacross_policy_changes_total", "Copies taken", registry=registry
        )
        self._policy_changes.set({}, 0)
        table.changes.subscribe(lambda record: self._policy_changes.inc({}))

    def record_admin_request(self, path: str, status: int) -> None:
        """Records a response of the admin server."""
        self._admin_requests.inc({"path": path, "status": str(status)})

    def refresh(self, ready: bool) -> None:
        """Updates the metrics that are read from the process and its policy table."""
        self._ready.set({}, int(ready))
        self._cpu_seconds.set({}, time.process_time())
        self._resident_memory.set({}, read_resident_bytes())
        for level, count in log_line_counter.by_level.items():
            self._log_lines.set({"level": level}, count)
        states = [policy.state for policy in self._table.policies.values()]
        for state in ("active", "retired"):
            self._policy_records.set({"state": state}, states.count(state))
        self._invalid_records.set({}, len(self._table.findings))


def read_resident_bytes() -> int:
    """Returns the resident memory of this process; 0 if it cannot be determined."""
    try:
        pages = int(STATM_FILE.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")
