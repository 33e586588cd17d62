"""Answers of the health and load endpoints of upstreams."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from .upstream_signals import LoadReport

if TYPE_CHECKING:
    from .upstream_signals import AnnouncedState


def read_health(body: bytes) -> AnnouncedState | None:
    """Returns the state in a health answer, ``None`` if malformed or unknown."""
    match read_field(body, "state"):
        case "draining":
            return "draining"
        case "cold":
            return "cold"
        case "live":
            return "live"
        case _:
            return None


def read_load_answer(body: bytes) -> LoadReport | None:
    """Returns the load in a load answer, ``None`` if malformed."""
    in_flight = read_field(body, "in_flight")
    if not isinstance(in_flight, int) or in_flight < 0:
        return None
    return LoadReport(in_flight)


def read_field(body: bytes, name: str) -> object:
    """Returns a member of a JSON object, ``None`` if there is none."""
    try:
        answer = json.loads(body)
    except ValueError:
        return None
    return answer.get(name) if isinstance(answer, dict) else None
