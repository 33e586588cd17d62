"""Waiting until a store revision is in force on all live members."""

from __future__ import annotations

import asyncio
import sys
import time
from typing import TYPE_CHECKING, NamedTuple

from ..infrastructure.key_value_store import StorePosition
from .exceptions import AgentUnreachableError

if TYPE_CHECKING:
    from .fleet_status import FleetStatus
    from .status_reader import StatusReader

POLL_INTERVAL_S = 0.2
MAX_LISTED_MEMBERS = 5
MS_PER_S = 1_000


class WaitResult(NamedTuple):
    """Outcome of a wait; ``status`` is the last status received, if any."""

    in_force: bool
    status: FleetStatus | None
    waited_ms: int

    def describe(self, revision: int) -> str:
        """Describes the outcome, to be appended to another message."""
        if self.in_force and self.status is not None:
            count = len(self.status.get_serving_members())
            return f"in force on all {count} live members after {self.waited_ms} ms"
        if self.status is None:
            return f"no agent responded within {self.waited_ms} ms"
        progress = describe_progress(self.status, revision)
        return f"not in force on all members after {self.waited_ms} ms: {progress}"


class InForceWaiter:
    """Polls the fleet status; prints progress to standard error when it changes."""

    def __init__(self, reader: StatusReader, timeout_ms: int) -> None:
        self._reader = reader
        self._timeout_ms = timeout_ms
        self._last_progress = ""

    async def wait(self, revision: int) -> WaitResult:
        """Waits until all live members have a revision in force, or for the timeout."""
        started = time.monotonic()
        status = None
        while True:
            remaining_ms = self._timeout_ms - (time.monotonic() - started) * MS_PER_S
            try:
                async with asyncio.timeout(max(0.0, remaining_ms) / MS_PER_S):
                    status = await self._reader.read()
                progress = describe_progress(status, revision)
                done = bool(
                    status.get_serving_members()
                ) and not status.get_lagging_members(revision)
            except AgentUnreachableError as error:
                progress, done = f"no agent responds: {error}", False
            except TimeoutError:
                progress, done = "no agent responds", False
            waited_ms = int((time.monotonic() - started) * MS_PER_S)
            if done or waited_ms >= self._timeout_ms:
                return WaitResult(done, status, waited_ms)
            self._print_progress(progress)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _print_progress(self, progress: str) -> None:
        if progress == self._last_progress:
            return
        self._last_progress = progress
        print(f"waiting: {progress}", file=sys.stderr, flush=True)


def describe_progress(status: FleetStatus, revision: int) -> str:
    """Describes on how many members a revision is in force, and names lagging ones.

    Names at most ``MAX_LISTED_MEMBERS`` members.
    """
    serving = status.get_serving_members()
    lagging = status.get_lagging_members(revision)
    text = f"in force on {len(serving) - len(lagging)} of {len(serving)} live members"
    if not lagging:
        return text
    names = [
        f"{member.instance} ({member.state}) at {StorePosition.unpack(member.in_force)}"
        for member in lagging[:MAX_LISTED_MEMBERS]
    ]
    omitted = len(lagging) - len(names)
    suffix = f" and {omitted} more" if omitted else ""
    return f"{text}; missing: {', '.join(names)}{suffix}"
