"""Callers that keep connections idle, and limits that change beneath them."""

from __future__ import annotations

import asyncio
import itertools
import random
import re
import time
from typing import TYPE_CHECKING, NamedTuple

from tests.node.kept_caller import DelayedLink, KeptConnection

from .callers import DEADLINE_S, TIMEOUT_MARGIN_S, Call
from .fleet import FaultWindows

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterator

    from .fleet import SoakFleet

CALLERS_PER_NODE = 12
LINK_DELAY_S = 0.03
# Share of the stated time for which callers leave a connection idle. What they send
# after the whole of it may get nothing, but must not run either.
MIN_IDLE_SHARE = 0.3
MAX_IDLE_SHARE = 1.3
WAIT_STEP_S = 0.05
IDLE_TIMEOUTS = ("1s", "2s", "3s", "5s")
HEADER_TIMEOUTS = ("1s", "2s", "3s")
MAX_INTERVAL_S = 1.5
# The connections of a process are closed at most this long before it exits.
CLOSE_S = 0.5
# The soak's own process runs the callers and their links. While it is held up for
# longer than this, a link takes longer than nodes allow for, some hops together.
STALL_CHECK_S = 0.05
MAX_STALL_S = 0.3
LOST_MESSAGES = ("request on a closed connection", "request cut off")


class IdleTime(NamedTuple):
    """How long a connection was idle before a request, and for how long it is kept.

    ``since`` is the time at which the request before it was sent.
    """

    since: float
    idle_s: float
    kept_s: float


class LimitsInjector:
    """Raises and lowers the limits on callers in series.

    It has a random generator of its own, so that the faults of a seed stay the same.
    """

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self.injected: list[tuple[float, str]] = []
        self._fleet = fleet
        self._generator = random.Random(f"limits-{seed}")

    async def run(self, length_s: float) -> None:
        """Changes the limits for ``length_s``."""
        end = time.monotonic() + length_s
        while time.monotonic() < end:
            for _ in range(self._generator.randint(1, 3)):
                limits = {
                    "idle_timeout": self._generator.choice(IDLE_TIMEOUTS),
                    "header_timeout": self._generator.choice(HEADER_TIMEOUTS),
                }
                self._fleet.limits = limits
                await self._fleet.publish_configuration()
                self.injected.append((time.monotonic(), f"limits {limits}"))
                await asyncio.sleep(self._generator.uniform(0, 0.3))
            await asyncio.sleep(self._generator.uniform(0, MAX_INTERVAL_S))


class KeptCallers:
    """Callers that use connections again, also of a node that is stopping.

    They record their requests in ``calls``. ``idle_times`` holds those that were sent
    on a connection which had been used before, ``stalls`` the times in which the soak's
    own process was held up.
    """

    def __init__(self, fleet: SoakFleet, seed: int, calls: list[Call]) -> None:
        self.idle_times: dict[str, IdleTime] = {}
        self.stalls = FaultWindows()
        self._calls = calls
        self._fleet = fleet
        self._generator = random.Random(f"kept-{seed}")
        self._numbers = itertools.count()
        self._stopped = False

    async def run(self) -> None:
        """Sends requests until ``stop`` is called."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch_stalls())
            for node in self._fleet.site.nodes:
                link = await DelayedLink.open(
                    self._fleet.stack, node.settings["listen"], LINK_DELAY_S
                )
                for _ in range(CALLERS_PER_NODE):
                    group.create_task(self._run_caller(node.name, link.address))

    def stop(self) -> None:
        """Stops each caller once its current call has completed."""
        self._stopped = True

    async def _watch_stalls(self) -> None:
        while not self._stopped:
            started_at = time.monotonic()
            await asyncio.sleep(STALL_CHECK_S)
            now = time.monotonic()
            if now - started_at > MAX_STALL_S:
                self.stalls.open(started_at, now)

    async def _run_caller(self, node: str, address: str) -> None:
        while not self._stopped:
            connection = await KeptConnection.open(address)
            since = time.monotonic()
            await self._call(connection, node)
            while connection.is_open() and connection.stated_s is not None:
                kept_s = connection.stated_s
                share = self._generator.uniform(MIN_IDLE_SHARE, MAX_IDLE_SHARE)
                await self._wait(connection, connection.answered_at + kept_s * share)
                if self._stopped or not connection.is_open():
                    break
                idle_s = time.monotonic() - connection.answered_at
                idle_time = IdleTime(since, idle_s, kept_s)
                since = time.monotonic()
                await self._call(connection, node, idle_time)
            connection.close()
            await asyncio.sleep(self._generator.uniform(0, 4 * WAIT_STEP_S))

    async def _wait(self, connection: KeptConnection, until: float) -> None:
        """Waits until a time, or until the caller sees the connection closed."""
        while (left_s := until - time.monotonic()) > 0:
            if self._stopped or not connection.is_open():
                return
            await asyncio.sleep(min(left_s, WAIT_STEP_S))

    async def _call(
        self, connection: KeptConnection, node: str, idle_time: IdleTime | None = None
    ) -> None:
        request_id = f"kept{next(self._numbers)}"
        method, path = self._generator.choice(
            [("GET", "/safe/x"), ("GET", "/safe/x"), ("POST", "/once/x")]
        )
        sent_at = time.monotonic()
        if idle_time is not None:
            self.idle_times[request_id] = idle_time
        status, error = await connection.call(
            f"{method} {path} HTTP/1.1\r\nHost: host.example\r\n"
            f"X-Request-Id: {request_id}\r\nContent-Length: 0\r\n"
            f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}",
            DEADLINE_S + TIMEOUT_MARGIN_S,
        )
        head = connection.head if status is not None else ""
        signature = re.search(r"\r\nx-upstream-signature: (\S+)", head)
        self._calls.append(
            Call(
                request_id,
                node,
                path,
                sent_at,
                time.monotonic(),
                status,
                signature and signature[1],
                "\r\nserver-leaving: 1\r\n" in head,
                connection.body if status is not None else b"",
                error,
            )
        )


def find_kept_violations(
    fleet: SoakFleet,
    callers: KeptCallers,
    calls: list[Call],
    runs: Counter[str],
) -> Iterator[str]:
    """Yields a message for each request that was lost on a kept connection."""
    if not callers.idle_times:
        yield "no response stated for how long its connection is kept"
    for call in calls:
        idle_time = callers.idle_times.get(call.request_id)
        if idle_time is None or idle_time.idle_s > idle_time.kept_s:
            continue
        if callers.stalls.is_undisturbed(idle_time.since, call.ended_at):
            yield from check_answered(fleet, call, idle_time, runs[call.request_id])
    # A stopping node cannot wait for a caller that takes a response too late.
    late = {
        call.request_id
        for call in calls
        if call.ended_at - call.sent_at > call.deadline_s
    }
    for node in fleet.site.nodes:
        for line in node.lines:
            request_id = line.get("request_id", "")
            if line.get("closed_because") == "stop" and request_id in late:
                continue
            if line["message"] in LOST_MESSAGES and runs[request_id]:
                yield (
                    f"{request_id} ran {runs[request_id]} times, and {node.name} "
                    f"logged {line['message']!r} ({line['closed_because']})"
                )


def check_answered(
    fleet: SoakFleet, call: Call, idle_time: IdleTime, runs: int
) -> Iterator[str]:
    """A request sent within the stated time is answered or refused.

    One that crosses the end of the process, and was not read, is not counted.
    """
    if call.status is not None:
        return
    if not fleet.node_faults[call.node].is_undisturbed(call.sent_at, call.ended_at):
        return
    was_read = runs or any(
        line.get("request_id") == call.request_id
        for node in fleet.site.nodes
        for line in node.lines
    )
    crosses_end = any(
        stop.ended_at - CLOSE_S - 2 * LINK_DELAY_S < call.sent_at < stop.ended_at
        for stop in fleet.stops.get(call.node, [])
    )
    if was_read or not crosses_end:
        yield (
            f"{call.request_id} to {call.node}, after {idle_time.idle_s:.2f} of "
            f"{idle_time.kept_s:.0f} s, ran {runs} times and got {call.error}"
        )
