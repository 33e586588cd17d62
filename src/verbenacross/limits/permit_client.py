"""Client of the agent that acquires, renews and releases permits for long requests."""

from __future__ import annotations

import asyncio
import collections
import time
import uuid
from typing import TYPE_CHECKING

import logbook

from ..protocol.messages import (
    PermitGrant,
    PermitRelease,
    PermitReport,
    PermitRequest,
)
from ..refusals import build_not_run_error

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from ..protocol.messages import Message
    from ..routing import RequestContext

MS_PER_S = 1_000
RESEND_INTERVAL_S = 0.5
# The coordinator drops a permit request that is not resent within this time.
REQUEST_LIFETIME_MS = 2_000
RENEW_INTERVAL_S = 1.0
SWEEP_INTERVAL_S = 0.25
GRANT_MARGIN_MS = 500
MAX_TRACKED_SENDS = 8
# A request may outlive its deadline while its response is streamed or it is cancelled.
MAX_OVERRUN_S = 600.0

logger = logbook.Logger("verbenacross.limits.permit_client")


class RunningRequest:
    """A request on an upstream, with or without a permit.

    Times are seconds on the monotonic clock. ``next_report_at`` is when the request is
    next reported as long, ``expires_at`` the latest time at which it may still run.
    """

    __slots__ = (
        "expires_at",
        "next_report_at",
        "permit_id",
        "reported",
        "service",
        "upstream",
    )

    def __init__(
        self, service: str, upstream: str, next_report_at: float, expires_at: float
    ) -> None:
        self.permit_id = ""
        self.service = service
        self.upstream = upstream
        self.next_report_at = next_report_at
        self.expires_at = expires_at
        self.reported = False


class PendingPermit:
    """A permit request that is resent until it is granted.

    ``granted`` resolves to the id of the upstream.
    """

    def __init__(self, permit_id: str) -> None:
        self.permit_id = permit_id
        self.granted: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._sent_at: dict[int, float] = {}
        self._sequence = 0

    def build_request(
        self, service: str, excluded: Collection[str], now: float
    ) -> PermitRequest:
        """Returns the message to send or resend, with the next sequence number."""
        self._sequence += 1
        self._sent_at[self._sequence] = now
        self._sent_at.pop(self._sequence - MAX_TRACKED_SENDS, None)
        return PermitRequest(
            self.permit_id,
            service,
            REQUEST_LIFETIME_MS,
            tuple(excluded),
            self._sequence,
        )

    def accept_grant(self, grant: PermitGrant, now: float) -> None:
        """Accepts a grant if the coordinator certainly still reserves its slot.

        The lifetime of a grant starts after the request with its sequence number was
        sent. A grant that was delayed in transit may have expired, and its slot may
        have been granted to another request.
        """
        sent_at = self._sent_at.get(grant.sequence)
        if sent_at is None or self.granted.done():
            return
        if (now - sent_at) * MS_PER_S < grant.lifetime_ms - GRANT_MARGIN_MS:
            self.granted.set_result(grant.upstream)


class PermitClient:
    """Acquires permits from the agent, renews them and releases them.

    Requests without a permit that run longer than ``long_after_ms`` are reported, so
    that they count against the share of slots for long requests. ``send`` passes a
    message to the agent, or drops it while the agent is disconnected; permit requests
    and reports are resent.
    """

    def __init__(
        self,
        send: Callable[[Message], object],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._send = send
        self._clock = clock
        self._id_prefix = uuid.uuid4().hex[:16]
        self._issued_ids = 0
        self._pending: dict[str, PendingPermit] = {}
        self._running: dict[tuple[str, str], list[RunningRequest]] = (
            collections.defaultdict(list)
        )

    async def run(self) -> None:
        """Sends due renewals and reports periodically until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.send_due_reports()

    async def acquire(
        self, context: RequestContext, excluded: Collection[str] = ()
    ) -> str:
        """Acquires a permit and returns the id of its upstream.

        Waits until the deadline of the request, then raises ``RequestProblemError``
        (not run).
        """
        pending = PendingPermit(self._generate_id())
        self._pending[pending.permit_id] = pending
        upstream = None
        try:
            upstream = await self._wait_for_grant(pending, context, excluded)
        finally:
            del self._pending[pending.permit_id]
            if upstream is None:
                self._send(PermitRelease(pending.permit_id, context.service))
        request = self._track(context, upstream, 0.0)
        request.permit_id = pending.permit_id
        request.reported = True
        self._send_report(request)
        return upstream

    def track_short_request(self, context: RequestContext, upstream: str) -> None:
        """Starts tracking a request that is sent to an upstream without a permit."""
        self._track(context, upstream, context.policy.limits.long_after_ms / MS_PER_S)

    def release(self, context: RequestContext, upstream: str) -> None:
        """Stops tracking a request on an upstream and releases its permit, if any."""
        key = (context.request_id, upstream)
        group = self._running.get(key)
        if group is None:
            return
        request = group.pop()
        if not group:
            del self._running[key]
        if request.reported:
            self._send(PermitRelease(request.permit_id, request.service))

    def accept_grant(self, grant: PermitGrant) -> None:
        """Handles a grant from the agent; ignores those of other entries."""
        pending = self._pending.get(grant.permit)
        if pending is not None and grant.upstream:
            pending.accept_grant(grant, self._clock())

    def send_due_reports(self) -> None:
        """Renews permits and reports requests that run longer than expected.

        A request that is not released within ``MAX_OVERRUN_S`` of its deadline is
        dropped, as its permit would otherwise be renewed forever.
        """
        now = self._clock()
        for key, group in list(self._running.items()):
            for request in list(group):
                if now >= request.expires_at:
                    self._drop(key, request)
                elif now >= request.next_report_at:
                    self._send_report(request)

    def dump_state(self) -> dict[str, int]:
        """Returns the numbers of waiting, running and reported requests."""
        requests = [request for group in self._running.values() for request in group]
        return {
            "waiting": len(self._pending),
            "running": len(requests),
            "counted_as_long": sum(request.reported for request in requests),
        }

    async def _wait_for_grant(
        self,
        pending: PendingPermit,
        context: RequestContext,
        excluded: Collection[str],
    ) -> str:
        while context.get_remaining_ms() > 0:
            now = self._clock()
            self._send(pending.build_request(context.service, excluded, now))
            timeout_s = min(RESEND_INTERVAL_S, context.get_remaining_ms() / MS_PER_S)
            done, _ = await asyncio.wait({pending.granted}, timeout=max(0, timeout_s))
            if done:
                return pending.granted.result()
        title = f"Service {context.service!r} has no free slot for long work"
        raise build_not_run_error(503, "no-long-slot", title)

    def _track(
        self, context: RequestContext, upstream: str, report_after_s: float
    ) -> RunningRequest:
        now = self._clock()
        expires_at = now + context.get_remaining_ms() / MS_PER_S + MAX_OVERRUN_S
        request = RunningRequest(
            context.service, upstream, now + report_after_s, expires_at
        )
        self._running[context.request_id, upstream].append(request)
        return request

    def _drop(self, key: tuple[str, str], request: RunningRequest) -> None:
        logger.error(
            "request on upstream {} was not released after its deadline; dropping it",
            request.upstream,
            extra={"id": key[0]},
        )
        self._running[key].remove(request)
        if not self._running[key]:
            del self._running[key]
        if request.reported:
            self._send(PermitRelease(request.permit_id, request.service))

    def _send_report(self, request: RunningRequest) -> None:
        if not request.permit_id:
            request.permit_id = self._generate_id()
        request.reported = True
        request.next_report_at = self._clock() + RENEW_INTERVAL_S
        self._send(PermitReport(request.permit_id, request.service, request.upstream))

    def _generate_id(self) -> str:
        self._issued_ids += 1
        return f"{self._id_prefix}-{self._issued_ids}"
