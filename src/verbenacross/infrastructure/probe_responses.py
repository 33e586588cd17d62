"""Parses the responses of the health and load endpoints of upstreams."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from .upstream_signals import LoadReport

if TYPE_CHECKING:
    from .upstream_signals import AnnouncedState

# Larger numbers are mistakes of the upstream.
MAX_IN_FLIGHT = 1_000_000


def parse_health_response(body: bytes) -> AnnouncedState | None:
    """Parses the announced state, ``None`` if malformed or unknown."""
    match parse_field(body, "state"):
        case "draining":
            return "draining"
        case "cold":
            return "cold"
        case "live":
            return "live"
        case _:
            return None


def parse_load_response(body: bytes) -> LoadReport | None:
    """Parses a load report, ``None`` if malformed."""
    in_flight = parse_field(body, "in_flight")
    if not isinstance(in_flight, int) or not 0 <= in_flight <= MAX_IN_FLIGHT:
        return None
    return LoadReport(in_flight)


def parse_field(body: bytes, name: str) -> object:
    """Parses a member of a JSON object, ``None`` if it is absent."""
    try:
        document = json.loads(body)
    except (RecursionError, ValueError):
        return None
    return document.get(name) if isinstance(document, dict) else None
