"""State and load that upstreams announce in response headers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

LOAD_HEADER = "endpoint-load-metrics"
STATE_HEADER = "Upstream-State"
EXECUTION_HEADER = "Execution-Status"
LOAD_FORMAT = "TEXT "
# Longer numbers are mistakes of the upstream.
MAX_LOAD_DIGITS = 9
IN_FLIGHT_METRIC = "named_metrics.in_flight"

AnnouncedState = Literal["live", "draining", "cold"]


class LoadReport(NamedTuple):
    """Load reported by an upstream: requests in flight, including queued ones."""

    in_flight: int


def parse_load_header(headers: Mapping[str, str]) -> LoadReport | None:
    """Parses the load report of a response, ``None`` if absent or malformed."""
    text = headers.get(LOAD_HEADER, "")
    if not text.startswith(LOAD_FORMAT):
        return None
    for item in text[len(LOAD_FORMAT) :].split(","):
        name, _, value = item.strip().partition("=")
        is_number = value.isascii() and value.isdigit()
        if name == IN_FLIGHT_METRIC and is_number and len(value) <= MAX_LOAD_DIGITS:
            return LoadReport(int(value))
    return None


def parse_state_header(headers: Mapping[str, str]) -> AnnouncedState:
    """Parses the announced state; ``live`` if the header is absent or unknown."""
    match headers.get(STATE_HEADER, ""):
        case "draining":
            return "draining"
        case "cold":
            return "cold"
        case _:
            return "live"
