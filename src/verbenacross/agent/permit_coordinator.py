"""Allocates the slots for long requests on the upstreams of one service."""

from __future__ import annotations

import collections
import random
import time
from typing import TYPE_CHECKING, NamedTuple

from ..protocol.messages import PermitGrant

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from ..protocol.messages import PermitReport, PermitRequest

MS_PER_S = 1_000
PERMIT_LIFETIME_MS = 5_000
PERMIT_LIFETIME_S = 5.0
# Entries report their permits every second, so all of them have reported by the time a
# new coordinator starts to grant.
REBUILD_WAIT_S = 2.0
MAX_PENDING_REQUESTS = 1_024


class Permit(NamedTuple):
    """A slot held by an entry; ``expires_at`` is a monotonic time in seconds."""

    upstream: str
    expires_at: float


class PendingRequest(NamedTuple):
    """A permit request that waits for a slot, until a monotonic time in seconds."""

    sender: str
    request: PermitRequest
    expires_at: float


class EligibleUpstreams(NamedTuple):
    """Upstreams eligible for long requests, and the slots of each for such requests."""

    upstreams: Sequence[str]
    slots: int


class Grant(NamedTuple):
    """A grant message and the instance that it is sent to."""

    instance: str
    message: PermitGrant


class PermitCoordinator:
    """Allocates permits for long requests of one service; all state is in memory.

    A report occupies a slot whether or not a permit was granted for it, because the
    request is already running and later grants must leave room for it. Pending
    requests are served in order of arrival, on the upstream with the fewest permits.
    """

    def __init__(
        self,
        service: str,
        find_eligible: Callable[[str], EligibleUpstreams],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._service = service
        self._find_eligible = find_eligible
        self._clock = clock
        self._permits: dict[str, Permit] = {}
        self._pending_requests: dict[str, PendingRequest] = {}
        self._counts: collections.Counter[str] = collections.Counter()

    def add_request(self, sender: str, request: PermitRequest) -> Grant | None:
        """Queues a request, or renews the permit that it already has.

        Returns the grant to send again if a permit exists.
        """
        now = self._clock()
        permit = self._permits.get(request.permit)
        if permit is not None:
            renewed = permit._replace(expires_at=now + PERMIT_LIFETIME_S)
            self._permits[request.permit] = renewed
            return self._build_grant(sender, request, permit.upstream)
        if (
            request.permit in self._pending_requests
            or len(self._pending_requests) < MAX_PENDING_REQUESTS
        ):
            expires_at = now + request.wait_ms / MS_PER_S
            self._pending_requests[request.permit] = PendingRequest(
                sender, request, expires_at
            )
        return None

    def record_report(self, report: PermitReport) -> None:
        """Renews a permit, or adds one for a request that runs without a permit."""
        self._pending_requests.pop(report.permit, None)
        self._remove_permit(report.permit)
        self._add_permit(report.permit, report.upstream)

    def release(self, permit: str) -> None:
        """Frees the slot of a permit, or removes its pending request."""
        self._pending_requests.pop(permit, None)
        self._remove_permit(permit)

    def grant_pending(self) -> list[Grant]:
        """Grants free slots to pending requests and returns the grants."""
        if not self._pending_requests:
            return []
        eligible = self._find_eligible(self._service)
        grants: list[Grant] = []
        for key, pending in list(self._pending_requests.items()):
            free = self._find_free_upstreams(eligible)
            if not free:
                break
            upstream = self._choose_upstream(free, pending.request.excluded)
            if upstream is None:
                continue
            del self._pending_requests[key]
            self._add_permit(key, upstream)
            grant = self._build_grant(pending.sender, pending.request, upstream)
            grants.append(grant)
        return grants

    def expire(self) -> None:
        """Removes permits that were not renewed and requests that were not repeated."""
        now = self._clock()
        for key, permit in list(self._permits.items()):
            if permit.expires_at <= now:
                self._remove_permit(key)
        for key, pending in list(self._pending_requests.items()):
            if pending.expires_at <= now:
                del self._pending_requests[key]

    def is_idle(self) -> bool:
        """Returns whether there are neither permits nor pending requests."""
        return not self._permits and not self._pending_requests

    def get_permits(self) -> dict[str, str]:
        """Returns the permits with the upstream of each."""
        return {key: permit.upstream for key, permit in self._permits.items()}

    def dump_state(self) -> dict[str, object]:
        """Returns the number of permits by upstream and of pending requests."""
        return {"held": dict(self._counts), "waiting": len(self._pending_requests)}

    def _find_free_upstreams(self, eligible: EligibleUpstreams) -> list[str]:
        return [
            upstream
            for upstream in eligible.upstreams
            if self._counts[upstream] < eligible.slots
        ]

    def _choose_upstream(
        self, free: list[str], excluded: Collection[str]
    ) -> str | None:
        allowed = [upstream for upstream in free if upstream not in excluded]
        if not allowed:
            return None
        return min(allowed, key=lambda item: (self._counts[item], random.random()))

    def _add_permit(self, key: str, upstream: str) -> None:
        expires_at = self._clock() + PERMIT_LIFETIME_S
        self._permits[key] = Permit(upstream, expires_at)
        self._counts[upstream] += 1

    def _remove_permit(self, key: str) -> None:
        permit = self._permits.pop(key, None)
        if permit is None:
            return
        self._counts[permit.upstream] -= 1
        if not self._counts[permit.upstream]:
            del self._counts[permit.upstream]

    def _build_grant(self, sender: str, request: PermitRequest, upstream: str) -> Grant:
        message = PermitGrant(
            request.permit,
            upstream,
            PERMIT_LIFETIME_MS,
            request.sequence,
            self._service,
        )
        return Grant(sender, message)
