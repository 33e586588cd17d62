"""Waits until a store revision is in force on every live member."""

from __future__ import annotations

import asyncio
import sys
import time
from typing import TYPE_CHECKING, NamedTuple

from .exceptions import AgentUnreachableError

if TYPE_CHECKING:
    from .fleet_status import FleetStatus
    from .status_reader import StatusReader

POLL_INTERVAL_S = 0.2
MAX_NAMED_MEMBERS = 5
MS_PER_S = 1_000


class WaitResult(NamedTuple):
    """How a wait ended; ``status`` is the last that was read, if any."""

    in_force: bool
    status: FleetStatus | None
    waited_ms: int

    def describe(self, revision: int) -> str:
        """Returns the end of the wait as a sentence part."""
        if self.in_force and self.status is not None:
            count = len(self.status.get_serving())
            return f"in force on all {count} live members after {self.waited_ms} ms"
        if self.status is None:
            return f"no agent answered within {self.waited_ms} ms"
        progress = describe_progress(self.status, revision)
        return f"not in force everywhere after {self.waited_ms} ms: {progress}"


class ForceWaiter:
    """Polls the status and prints progress to standard error when it changes."""

    def __init__(self, reader: StatusReader, timeout_ms: int) -> None:
        self._reader = reader
        self._timeout_ms = timeout_ms
        self._shown = ""

    async def wait(self, revision: int) -> WaitResult:
        """Waits until every live member has the revision in force, or the timeout."""
        started = time.monotonic()
        status = None
        while True:
            remaining_ms = self._timeout_ms - (time.monotonic() - started) * MS_PER_S
            try:
                async with asyncio.timeout(max(0.0, remaining_ms) / MS_PER_S):
                    status = await self._reader.read()
                progress = describe_progress(status, revision)
                done = bool(status.get_serving()) and not status.get_lagging(revision)
            except AgentUnreachableError as error:
                progress, done = f"no agent answers: {error}", False
            except TimeoutError:
                progress, done = "no agent answers", False
            waited_ms = int((time.monotonic() - started) * MS_PER_S)
            if done or waited_ms >= self._timeout_ms:
                return WaitResult(done, status, waited_ms)
            self._show(progress)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _show(self, progress: str) -> None:
        if progress == self._shown:
            return
        self._shown = progress
        print(f"waiting: {progress}", file=sys.stderr, flush=True)


def describe_progress(status: FleetStatus, revision: int) -> str:
    """Returns how far a revision has come, with the first members that lack it."""
    serving = status.get_serving()
    lagging = status.get_lagging(revision)
    text = f"in force on {len(serving) - len(lagging)} of {len(serving)} live members"
    if not lagging:
        return text
    names = [
        f"{member.instance} ({member.state}) at {member.in_force}"
        for member in lagging[:MAX_NAMED_MEMBERS]
    ]
    more = len(lagging) - len(names)
    suffix = f" and {more} more" if more else ""
    return f"{text}; missing: {', '.join(names)}{suffix}"
