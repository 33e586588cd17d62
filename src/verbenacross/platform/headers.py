"""Header names of the platform's requests and answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..balancing.load_report import LoadReport

if TYPE_CHECKING:
    from collections.abc import Mapping

REQUEST_ID = "X-Request-Id"
# Milliseconds that the sender still waits.
REMAINING_TIME = "X-Deadline-Ms"
# Only the upstream with this id may run the request; any other answers 421.
TARGET_UPSTREAM = "X-Target-Instance"
# Present on answers that state that the request did not run.
NOT_RUN = "X-Not-Executed"
# Set by upstreams on every answer to a request that ran.
SIGNATURE = "X-Upstream-Signature"
LOAD = "X-Server-Load"
UPSTREAM_ID = "X-Instance-Id"

MISDIRECTED = 421
USUAL_PACE = 100


def parse_load_header(headers: Mapping[str, str]) -> LoadReport | None:
    """Returns the load that an upstream reported, ``None`` if absent or malformed."""
    text = headers.get(LOAD)
    if text is None:
        return None
    parts = [part.strip() for part in text.split(",")]
    if len(parts) < 3 or not all(part.isdecimal() for part in parts[:4]):
        return None
    running, waiting, slots, *rest = (int(part) for part in parts[:4])
    # The fourth figure is a percentage of the usual duration, not a load.
    slowness = rest[0] / USUAL_PACE if rest and rest[0] > 0 else 1.0
    return LoadReport(running, waiting, slots, slowness)


def parse_load_after_response(headers: Mapping[str, str]) -> LoadReport | None:
    """Returns the load that an answer leaves behind.

    An upstream counts the request itself in the load that it reports on the answer; a
    request that waited takes over its slot.
    """
    report = parse_load_header(headers)
    if report is None or report.waiting or not report.running:
        return report
    return report._replace(running=report.running - 1)


def is_not_run(status: int, headers: Mapping[str, str]) -> bool:
    """Returns whether an answer states that the upstream did not run the request."""
    return NOT_RUN in headers or status == MISDIRECTED
