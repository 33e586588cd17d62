"""Permits for long work, as an entry asks for, renews and returns them."""

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
from ..refusals import refuse_not_run

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from ..protocol.messages import Message
    from ..routing import RequestContext

MS_PER_S = 1_000
REPEAT_INTERVAL_S = 0.5
# The coordinator forgets a request whose repetitions stop.
WAIT_MS = 2_000
RENEW_INTERVAL_S = 1.0
SWEEP_INTERVAL_S = 0.25
GRANT_MARGIN_MS = 500
MAX_SEQUENCES = 8
# Work may outlive its deadline while it streams its answer or is cancelled.
MAX_OVERRUN_S = 600.0

logger = logbook.Logger("verbenacross.limits.permit_client")


class RunningWork:
    """A request on an upstream, with or without a permit.

    ``ends_at`` is the latest moment at which it may run, on the monotonic clock.
    """

    __slots__ = ("due_at", "ends_at", "permit", "reported", "service", "upstream")

    def __init__(
        self, service: str, upstream: str, due_at: float, ends_at: float
    ) -> None:
        self.permit = ""
        self.service = service
        self.upstream = upstream
        self.due_at = due_at
        self.ends_at = ends_at
        self.reported = False


class PendingPermit:
    """A request for a permit that repeats until it is granted."""

    def __init__(self, permit: str) -> None:
        self.permit = permit
        self.granted: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._sent_at: dict[int, float] = {}
        self._sequence = 0

    def build_next(
        self, service: str, excluded: Collection[str], now: float
    ) -> PermitRequest:
        """Returns the next repetition of the request."""
        self._sequence += 1
        self._sent_at[self._sequence] = now
        self._sent_at.pop(self._sequence - MAX_SEQUENCES, None)
        return PermitRequest(
            self.permit, service, WAIT_MS, tuple(excluded), self._sequence
        )

    def accept_grant(self, grant: PermitGrant, now: float) -> None:
        """Takes a grant whose slot the coordinator certainly still holds.

        The lifetime began after the repetition that the grant names was sent. A grant
        that was held up on the way may have lapsed, and another request have its slot.
        """
        sent_at = self._sent_at.get(grant.sequence)
        if sent_at is None or self.granted.done():
            return
        if (now - sent_at) * MS_PER_S < grant.lifetime_ms - GRANT_MARGIN_MS:
            self.granted.set_result(grant.upstream)


class PermitClient:
    """Asks the agent for permits, renews them while the work runs, returns them.

    Requests without a permit that run longer than ``long_after_ms`` are reported, so
    that they count against the share of long work. ``send`` passes a message to the
    agent, or drops it while the agent is away; everything is repeated.
    """

    def __init__(
        self,
        send: Callable[[Message], object],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._send = send
        self._clock = clock
        self._prefix = uuid.uuid4().hex[:16]
        self._issued = 0
        self._pending: dict[str, PendingPermit] = {}
        self._running: dict[tuple[str, str], list[RunningWork]] = (
            collections.defaultdict(list)
        )

    async def run(self) -> None:
        """Renews and reports until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.report_due()

    async def acquire(
        self, context: RequestContext, excluded: Collection[str] = ()
    ) -> str:
        """Returns the id of the upstream on which the request has a slot.

        Waits up to the deadline of the request; raises ``RefusedError`` (not run) then.
        """
        pending = PendingPermit(self._issue())
        self._pending[pending.permit] = pending
        upstream = None
        try:
            upstream = await self._wait_granted(pending, context, excluded)
        finally:
            del self._pending[pending.permit]
            if upstream is None:
                self._send(PermitRelease(pending.permit, context.service))
        work = self._start(context, upstream, 0.0)
        work.permit = pending.permit
        work.reported = True
        self._report(work)
        return upstream

    def track_short_request(self, context: RequestContext, upstream: str) -> None:
        """Notes that a request without a permit starts on an upstream."""
        self._start(context, upstream, context.policy.limits.long_after_ms / MS_PER_S)

    def release(self, context: RequestContext, upstream: str) -> None:
        """Notes that the request's work on an upstream has ended."""
        key = (context.request_id, upstream)
        group = self._running.get(key)
        if group is None:
            return
        work = group.pop()
        if not group:
            del self._running[key]
        if work.reported:
            self._send(PermitRelease(work.permit, work.service))

    def accept_grant(self, grant: PermitGrant) -> None:
        """Takes a grant from the agent; those of other entries are ignored."""
        pending = self._pending.get(grant.permit)
        if pending is not None and grant.upstream:
            pending.accept_grant(grant, self._clock())

    def report_due(self) -> None:
        """Renews permits and reports requests that turned out long.

        A request that was not released ``MAX_OVERRUN_S`` after its deadline is given
        up, as its permit would otherwise be renewed for ever.
        """
        now = self._clock()
        for key, group in list(self._running.items()):
            for work in list(group):
                if now >= work.ends_at:
                    self._give_up(key, work)
                elif now >= work.due_at:
                    self._report(work)

    def dump_state(self) -> dict[str, int]:
        """Returns the numbers of waiting, running and reported requests."""
        works = [work for group in self._running.values() for work in group]
        return {
            "waiting": len(self._pending),
            "running": len(works),
            "counted_as_long": sum(work.reported for work in works),
        }

    async def _wait_granted(
        self,
        pending: PendingPermit,
        context: RequestContext,
        excluded: Collection[str],
    ) -> str:
        while context.get_remaining_ms() > 0:
            now = self._clock()
            self._send(pending.build_next(context.service, excluded, now))
            timeout_s = min(REPEAT_INTERVAL_S, context.get_remaining_ms() / MS_PER_S)
            done, _ = await asyncio.wait({pending.granted}, timeout=max(0, timeout_s))
            if done:
                return pending.granted.result()
        title = f"Service {context.service!r} has no free slot for long work"
        raise refuse_not_run(503, "no-long-slot", title)

    def _start(
        self, context: RequestContext, upstream: str, after_s: float
    ) -> RunningWork:
        now = self._clock()
        ends_at = now + context.get_remaining_ms() / MS_PER_S + MAX_OVERRUN_S
        work = RunningWork(context.service, upstream, now + after_s, ends_at)
        self._running[context.request_id, upstream].append(work)
        return work

    def _give_up(self, key: tuple[str, str], work: RunningWork) -> None:
        logger.error(
            "a request on {} was never released", work.upstream, extra={"id": key[0]}
        )
        self._running[key].remove(work)
        if not self._running[key]:
            del self._running[key]
        if work.reported:
            self._send(PermitRelease(work.permit, work.service))

    def _report(self, work: RunningWork) -> None:
        if not work.permit:
            work.permit = self._issue()
        work.reported = True
        work.due_at = self._clock() + RENEW_INTERVAL_S
        self._send(PermitReport(work.permit, work.service, work.upstream))

    def _issue(self) -> str:
        self._issued += 1
        return f"{self._prefix}-{self._issued}"
