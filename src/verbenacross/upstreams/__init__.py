"""State of upstreams: the instance directory and shared observations."""

from .observation_reporter import ObservationReporter
from .observation_table import ObservationTable
from .upstream_directory import UpstreamDirectory

__all__ = ["ObservationReporter", "ObservationTable", "UpstreamDirectory"]
