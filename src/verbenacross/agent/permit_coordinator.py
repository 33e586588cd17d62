"""Gives out the slots for long work on the upstreams of one service."""

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
# Entries report every second, so each has reported before a new coordinator grants.
REBUILD_WAIT_S = 2.0
MAX_WAITING = 1_024


class Permit(NamedTuple):
    """A slot that an entry holds; ``ends_at`` is on the monotonic clock, in seconds."""

    upstream: str
    ends_at: float


class Waiting(NamedTuple):
    """A request that waits for a slot."""

    sender: str
    request: PermitRequest
    ends_at: float


class Candidates(NamedTuple):
    """Upstreams that may get long work and how many slots of each it may hold."""

    upstreams: Sequence[str]
    slots: int


class Grant(NamedTuple):
    """A grant with the instance that it goes to."""

    instance: str
    message: PermitGrant


class PermitCoordinator:
    """Permits for long work on the upstreams of one service, all in memory.

    A report counts whether or not a permit was granted for it: the work runs, and the
    next grants must leave room for it. Waiting requests are served in order of arrival
    on the upstream with the fewest permits.
    """

    def __init__(
        self,
        service: str,
        find_candidates: Callable[[str], Candidates],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._service = service
        self._find_candidates = find_candidates
        self._clock = clock
        self._permits: dict[str, Permit] = {}
        self._waiting: dict[str, Waiting] = {}
        self._counts: collections.Counter[str] = collections.Counter()

    def request(self, sender: str, request: PermitRequest) -> Grant | None:
        """Takes a request or its repetition; returns the grant if it has one."""
        now = self._clock()
        permit = self._permits.get(request.permit)
        if permit is not None:
            renewed = permit._replace(ends_at=now + PERMIT_LIFETIME_S)
            self._permits[request.permit] = renewed
            return self._build_grant(sender, request, permit.upstream)
        if request.permit in self._waiting or len(self._waiting) < MAX_WAITING:
            ends_at = now + request.wait_ms / MS_PER_S
            self._waiting[request.permit] = Waiting(sender, request, ends_at)
        return None

    def report(self, report: PermitReport) -> None:
        """Renews a permit, or counts work that runs without one."""
        self._waiting.pop(report.permit, None)
        self._drop(report.permit)
        self._add(report.permit, report.upstream)

    def release(self, permit: str) -> None:
        """Returns a slot or forgets a waiting request."""
        self._waiting.pop(permit, None)
        self._drop(permit)

    def grant_waiting(self) -> list[Grant]:
        """Returns the grants that are possible now."""
        if not self._waiting:
            return []
        candidates = self._find_candidates(self._service)
        grants: list[Grant] = []
        for key, waiting in list(self._waiting.items()):
            free = self._find_free(candidates)
            if not free:
                break
            upstream = self._choose(free, waiting.request.excluded)
            if upstream is None:
                continue
            del self._waiting[key]
            self._add(key, upstream)
            grant = self._build_grant(waiting.sender, waiting.request, upstream)
            grants.append(grant)
        return grants

    def expire(self) -> None:
        """Drops permits that were not renewed and requests that were not repeated."""
        now = self._clock()
        for key, permit in list(self._permits.items()):
            if permit.ends_at <= now:
                self._drop(key)
        for key, waiting in list(self._waiting.items()):
            if waiting.ends_at <= now:
                del self._waiting[key]

    def is_idle(self) -> bool:
        """Returns whether nothing is held and nothing waits."""
        return not self._permits and not self._waiting

    def get_permits(self) -> dict[str, str]:
        """Returns the upstream of each permit."""
        return {key: permit.upstream for key, permit in self._permits.items()}

    def dump_state(self) -> dict[str, object]:
        """Returns the numbers of permits by upstream and of waiting requests."""
        return {"held": dict(self._counts), "waiting": len(self._waiting)}

    def _find_free(self, candidates: Candidates) -> list[str]:
        return [
            upstream
            for upstream in candidates.upstreams
            if self._counts[upstream] < candidates.slots
        ]

    def _choose(self, free: list[str], excluded: Collection[str]) -> str | None:
        allowed = [upstream for upstream in free if upstream not in excluded]
        if not allowed:
            return None
        return min(allowed, key=lambda item: (self._counts[item], random.random()))

    def _add(self, key: str, upstream: str) -> None:
        ends_at = self._clock() + PERMIT_LIFETIME_S
        self._permits[key] = Permit(upstream, ends_at)
        self._counts[upstream] += 1

    def _drop(self, key: str) -> None:
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
