"""Headers of the platform's requests and responses."""

from __future__ import annotations

import email.utils
import time
from typing import TYPE_CHECKING

from ..balancing.load_report import LoadReport
from ..balancing.upstream_notice import NO_NOTICE, UpstreamNotice

if TYPE_CHECKING:
    from collections.abc import Mapping

    from multidict import CIMultiDictProxy

REQUEST_ID = "X-Request-Id"
# Time in milliseconds that the sender still waits for the response.
REMAINING_TIME = "X-Deadline-Ms"
# Only the upstream with this id may run the request; any other responds with 421.
TARGET_UPSTREAM = "X-Target-Instance"
# API key of a caller, which no upstream receives, and the name of its customer, which
# the upstream receives instead.
API_KEY = "X-Api-Key"
CUSTOMER = "X-Tenant-Id"
# Present on responses that state that the upstream did not run the request.
NOT_RUN = "X-Not-Executed"
# Set by upstreams on every response to a request that ran.
SIGNATURE = "X-Upstream-Signature"
LOAD = "X-Server-Load"
UPSTREAM_ID = "X-Instance-Id"
# "1" on every response of an upstream that is about to leave.
LEAVING = "Server-Leaving"
# On responses of the health path: for how many more milliseconds the upstream is cold.
COLD_TIME = "X-Warmup-Ms"
# On a rejection with 503: the upstream wants no requests for so long.
RETRY_AFTER = "Retry-After"

MS_PER_S = 1_000
MISDIRECTED = 421
OVERLOADED = 503
# Longer times are cut to this, in seconds, so that a mistake of an upstream ends.
MAX_BUSY_S = 600.0
MAX_COLD_S = 600.0
MAX_NUMBER_CHARACTERS = 32
# Callers take a response with one of these statuses as a promise that the request did
# not run and may be sent again.
NOT_RUN_STATUSES = frozenset({408, MISDIRECTED, 429, 503})
# Longer numbers of a load report are mistakes.
MAX_LOAD_DIGITS = 9
# Percentage of the usual duration that stands for no slowdown.
NOMINAL_SLOWNESS_PERCENT = 100


def parse_load_header(headers: Mapping[str, str]) -> LoadReport | None:
    """Parses the load report of an upstream, ``None`` if absent or malformed."""
    text = headers.get(LOAD)
    if text is None:
        return None
    parts = [part.strip() for part in text.split(",")]
    if len(parts) < 3 or not all(map(is_small_number, parts[:4])):
        return None
    running, waiting, slots, *rest = (int(part) for part in parts[:4])
    if slots == 0:
        return None
    # The fourth number is a percentage of the usual duration, not a load.
    slowness = rest[0] / NOMINAL_SLOWNESS_PERCENT if rest and rest[0] > 0 else 1.0
    return LoadReport(running, waiting, slots, slowness)


def is_small_number(text: str) -> bool:
    """Returns whether a text is a whole number that can be calculated with."""
    return text.isascii() and text.isdecimal() and len(text) <= MAX_LOAD_DIGITS


def parse_load_after_response(headers: Mapping[str, str]) -> LoadReport | None:
    """Parses the load report of a response, less the request that it completes.

    An upstream includes that request in the load that it reports. If other requests
    wait, one of them takes over the slot, so the load stays the same.
    """
    report = parse_load_header(headers)
    if report is None or report.waiting or not report.running:
        return report
    return report._replace(running=report.running - 1)


def is_not_run(status: int, headers: Mapping[str, str]) -> bool:
    """Returns whether a response states that the upstream did not run the request."""
    return NOT_RUN in headers or status == MISDIRECTED


def parse_notice(status: int, headers: CIMultiDictProxy[str]) -> UpstreamNotice:
    """Parses what an upstream states about itself in a response.

    A misdirected request was answered by another upstream, which says nothing of this
    one. Malformed values are ignored.
    """
    if status == MISDIRECTED:
        return NO_NOTICE
    is_leaving = any(value.strip() == "1" for value in headers.getall(LEAVING, ()))
    if status != OVERLOADED or RETRY_AFTER not in headers:
        return UpstreamNotice(is_leaving)
    # The longest of several values keeps to all of them.
    busy_for_s = max(parse_retry_after(text) for text in headers.getall(RETRY_AFTER))
    return UpstreamNotice(is_leaving, busy_for_s)


def parse_cold_time(headers: CIMultiDictProxy[str]) -> float | None:
    """Parses for how many more seconds an upstream is cold, the longest of several.

    Returns ``None`` if absent or malformed.
    """
    texts = headers.getall(COLD_TIME, ())
    if not texts or not all(map(is_small_number, texts)):
        return None
    return min(max(int(text) for text in texts) / MS_PER_S, MAX_COLD_S)


def parse_retry_after(text: str) -> float:
    """Returns a time in seconds from now, 0 if the value is malformed or past.

    The value is a number of seconds, possibly with a fraction, or an HTTP date.
    """
    text = text.strip()
    whole, _, fraction = text.partition(".")
    if text.isascii() and (whole + fraction).isdecimal():
        seconds = float(text) if len(text) <= MAX_NUMBER_CHARACTERS else MAX_BUSY_S
    else:
        try:
            seconds = email.utils.parsedate_to_datetime(text).timestamp() - time.time()
        except (OverflowError, TypeError, ValueError):
            return 0.0
    return min(max(seconds, 0.0), MAX_BUSY_S)
