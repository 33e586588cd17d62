"""Metrics that every process has."""

from __future__ import annotations

import os
import pathlib
import platform
import time
from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge

from .. import __version__
from .logs import log_counts

if TYPE_CHECKING:
    from aioprometheus import Registry

    from ..policy import PolicyTable

MEMORY_FILE = pathlib.Path("/proc/self/statm")
STARTED_AT_S = time.time()


class ProcessMetrics:
    """Metrics of the process and of its policy table, read at each scrape."""

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
        self._processor = Counter(
            "verbenacross_cpu_seconds_total", "Processor time used", registry=registry
        )
        self._memory = Gauge(
            "verbenacross_resident_memory_bytes", "Memory in use", registry=registry
        )
        self._log_lines = Counter(
            "verbenacross_log_lines_total", "Log lines by level", registry=registry
        )
        self._admin_requests = Counter(
            "verbenacross_admin_requests_total", "Admin requests", registry=registry
        )
        self._records = Gauge(
            "verbenacross_policy_records", "Valid records by state", registry=registry
        )
        self._invalid = Gauge(
            "verbenacross_policy_invalid_records",
            "Records whose latest copy has findings",
            registry=registry,
        )
        self._changes = Counter(
            "verbenacross_policy_changes_total", "Copies taken", registry=registry
        )
        self._changes.set({}, 0)
        table.changes.subscribe(lambda record: self._changes.inc({}))

    def count_admin_request(self, path: str, status: int) -> None:
        """Counts an answer of the admin server."""
        self._admin_requests.inc({"path": path, "status": str(status)})

    def refresh(self, ready: bool) -> None:
        """Reads the current values."""
        self._ready.set({}, int(ready))
        self._processor.set({}, time.process_time())
        self._memory.set({}, read_resident_bytes())
        for level, count in log_counts.by_level.items():
            self._log_lines.set({"level": level}, count)
        states = [policy.state for policy in self._table.policies.values()]
        for state in ("active", "retired"):
            self._records.set({"state": state}, states.count(state))
        self._invalid.set({}, len(self._table.findings))


def read_resident_bytes() -> int:
    """Returns the resident memory of this process, 0 where Linux does not tell."""
    try:
        pages = int(MEMORY_FILE.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")
