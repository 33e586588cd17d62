"""Checks the promises to callers and upstreams by what these saw."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from .fleet import MARKER_PATH, SoakFleet, build_body

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .callers import Call

# The users' bounds: a configuration and a drain are in force within 2 s where an
# instance was in touch with the store for 3 s.
BOUND_S = 2.0
STABLE_S = 3.0
NOT_RUN = (408, 421, 429, 503)
NOT_FOUND = 404
HTTP_OK = 200
# Share of the calls after the last fault that must be served.
RECOVERED_SHARE = 0.9


def find_violations(
    fleet: SoakFleet, calls: list[Call], recovered_at: float
) -> Iterator[str]:
    """Returns every broken promise with the request that shows it."""
    runs = collections.Counter(
        run.headers.get("x-request-id", "")
        for upstream in fleet.upstreams
        for run in upstream.runs
    )
    for name in fleet.ended:
        yield f"{name} ended by itself"
    for call in calls:
        yield from check_runs(call, runs[call.request_id])
        yield from check_answer(call)
        yield from check_configuration(fleet, call)
        yield from check_loss(fleet, call, runs[call.request_id])
    yield from check_drains(fleet, calls)
    yield from check_recovery(calls, recovered_at)


def check_runs(call: Call, runs: int) -> Iterator[str]:
    """Work that may run once runs once; what is said not to have run did not."""
    once = call.path.startswith("/once/")
    if once and runs > 1:
        yield f"{call.request_id} ran {runs} times"
    if once and call.status in NOT_RUN and runs:
        yield f"{call.request_id} got {call.status} and ran"


def check_answer(call: Call) -> Iterator[str]:
    """A success is the upstream's whole answer to this request."""
    if call.status != HTTP_OK:
        return
    if call.signature is None:
        yield f"{call.request_id} got a success without a signature"
    if call.body != build_body(call.request_id):
        yield f"{call.request_id} got {call.body[:40]!r} at {call.node}"


def check_configuration(fleet: SoakFleet, call: Call) -> Iterator[str]:
    """A route is known a while after its version was acknowledged."""
    if call.status != NOT_FOUND:
        return
    version = int(call.path.removeprefix(MARKER_PATH).partition("/")[0])
    age_s = call.sent_at - fleet.versions[version]
    since = call.sent_at - BOUND_S - STABLE_S
    calm = all(
        spans[call.node].is_calm(since, call.ended_at)
        for spans in (fleet.kills, fleet.outages)
    )
    if age_s > BOUND_S and calm:
        yield f"{call.request_id}: version {version} not in force at {call.node}"


def check_loss(fleet: SoakFleet, call: Call, runs: int) -> Iterator[str]:
    """A connection does not end without an answer once the request was passed on."""
    if call.status is not None or not runs:
        return
    if fleet.kills[call.node].is_calm(call.sent_at, call.ended_at):
        yield f"{call.request_id} ran and got {call.error} from {call.node}"


def check_drains(fleet: SoakFleet, calls: list[Call]) -> Iterator[str]:
    """An upstream that leaves gets no more work a while after it said so."""
    by_id = {call.request_id: call for call in calls}
    for upstream in fleet.upstreams:
        leaving_at = fleet.leaving.get(upstream.id)
        if leaving_at is None:
            continue
        for arrived_at, request_id in upstream.arrivals:
            call = by_id.get(request_id)
            if call is None or arrived_at <= leaving_at + BOUND_S:
                continue
            since = leaving_at - STABLE_S
            if all(
                spans[call.node].is_calm(since, arrived_at)
                for spans in (fleet.kills, fleet.outages)
            ):
                late_s = arrived_at - leaving_at
                yield f"{request_id} reached {upstream.id} {late_s:.1f} s after it left"


def check_recovery(calls: list[Call], recovered_at: float) -> Iterator[str]:
    """Service is back to normal a while after the last fault."""
    after = [call for call in calls if call.sent_at >= recovered_at]
    served = sum(call.status == HTTP_OK for call in after)
    if served < RECOVERED_SHARE * len(after) or not after:
        yield f"{served} of {len(after)} calls served after the last fault"
