"""Requests on kept connections while the operator changes the limits.

Pattern of the users' report: callers some way off the node use connections again that
have been idle for a while, as long as they see them open and within the limit that
they know. Each request that was sent whole is answered or refused.
"""

from __future__ import annotations

import asyncio
import bisect
import itertools
import math
import random
import signal
import time

import pytest

from .conftest import HOST, build_rule, wait_until
from .kept_caller import DelayedLink, KeptCall, KeptConnection

CALLERS = 100
LINK_DELAY_S = 0.03
# A configuration is in force so long after its acknowledgement. Until then callers may
# go by the one before it.
IN_FORCE_S = 2.0
# Callers that go by the operator's limit use four fifths of it.
USED_SHARE = 0.8
CALL_TIMEOUT_S = 4.0
DEADLINE_MS = 2000
# A request on its way when a connection ends was sent at most this long before its
# caller sees the end.
CROSSING_S = 2 * LINK_DELAY_S + 0.1
# The connections of a process are closed at most this long before it exits.
CLOSE_S = 0.5
LONG_S, SHORT_S = 6, 1


class Operator:
    """Writes configurations and records the limits with their acknowledgement."""

    def __init__(self, site) -> None:
        self._site = site
        self._version = 1
        self._acknowledged: list[tuple[float, float]] = []

    async def set_idle_timeout(self, limit_s, *rules, **options) -> None:
        self._version += 1
        await self._site.configure(
            *rules, version=self._version, idle_timeout=f"{limit_s}s", **options
        )
        self._acknowledged.append((time.monotonic(), limit_s))

    def get_limit_s(self, at: float) -> float:
        """Returns the newest limit that was acknowledged at a monotonic time."""
        index = bisect.bisect(self._acknowledged, (at, 0.0)) - 1
        return self._acknowledged[max(0, index)][1]


class KeptCallers:
    """Callers of one node; ``calls`` holds their requests on used connections.

    Callers go by what responses state, or with ``follows_operator`` by the operator's
    configuration once it must be in force. ``closed_early`` lists the connections that
    callers saw closed within that time, ``first_lost`` the times at which the first
    request of a connection got nothing; its caller leaves.
    """

    def __init__(self, address, operator, follows_operator=False, seed=1) -> None:
        self.calls: list[KeptCall] = []
        self.closed_early: list[str] = []
        self.first_lost: list[float] = []
        self._address = address
        self._operator = operator
        self._follows_operator = follows_operator
        self._generator = random.Random(seed)
        self._numbers = itertools.count()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, first_use_at: tuple[float, float], end: float) -> None:
        """Starts callers, whose connections are idle at first until an interval."""
        for _ in range(CALLERS):
            use_at = self._generator.uniform(*first_use_at)
            self._tasks.append(asyncio.create_task(self._run(use_at, end)))

    async def wait(self) -> None:
        await asyncio.gather(*self._tasks)

    async def _run(self, use_at: float, end: float) -> None:
        await asyncio.sleep(self._generator.uniform(0.0, 1.0))
        while True:
            try:
                connection = await KeptConnection.open(self._address)
            except OSError:
                return
            if await self._call(connection, is_first=True) is None:
                self.first_lost.append(time.monotonic())
                return
            while connection.is_open():
                answered_at = connection.answered_at
                if time.monotonic() > end:
                    connection.close()
                    return
                kept_s = self._get_kept_s(connection, time.monotonic())
                use_at = use_at or answered_at + kept_s * self._generator.random()
                # What the caller may rely on changes while it waits.
                while (left_s := use_at - time.monotonic()) > 0:
                    await asyncio.sleep(min(left_s, 0.05))
                    kept_s = self._get_kept_s(connection, time.monotonic())
                    if not connection.is_open():
                        break
                use_at = 0.0
                idle_s = time.monotonic() - answered_at
                if idle_s > kept_s:
                    break
                if connection.is_open():
                    await self._call(connection)
                else:
                    self.closed_early.append(f"idle {idle_s:.2f} s of {kept_s} s")
            connection.close()
            if time.monotonic() > end:
                return

    def _get_kept_s(self, connection, now) -> float:
        if self._follows_operator:
            return USED_SHARE * self._operator.get_limit_s(now - IN_FORCE_S)
        if connection.stated_s is not None:
            return connection.stated_s
        return self._operator.get_limit_s(connection.answered_at)

    async def _call(self, connection, is_first=False) -> int | None:
        request_id = f"kept-{next(self._numbers)}"
        sent_at, answered_at = time.monotonic(), connection.answered_at
        kept_s = self._get_kept_s(connection, sent_at)
        status, error = await connection.call(
            f"GET /safe/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {DEADLINE_MS}",
            CALL_TIMEOUT_S,
        )
        if not is_first:
            idle_s = sent_at - answered_at
            ended_at = time.monotonic()
            self.calls.append(
                KeptCall(request_id, sent_at, ended_at, idle_s, kept_s, status, error)
            )
        return status

    def find_lost(self) -> list[KeptCall]:
        """Returns the requests that got neither an answer nor a refusal."""
        return [call for call in self.calls if call.status is None]


def check_answered(site, callers, exited_at=math.inf) -> None:
    """Checks that nothing was lost, as callers, upstreams and the node saw it.

    A request may cross the end of the process at ``exited_at``, if it ran nowhere.
    """
    lost = callers.find_lost()
    print(
        f"{len(lost)} of {len(callers.calls)} requests on kept connections lost, "
        f"{len(callers.closed_early)} connections closed early"
    )
    assert [
        call
        for call in lost
        if call.ended_at < exited_at - CLOSE_S
        or call.ended_at - call.sent_at > CROSSING_S
    ] == []
    if exited_at == math.inf:
        assert callers.closed_early == []
    assert [at for at in callers.first_lost if at < exited_at - CLOSE_S] == []
    assert [call for call in lost if site.find_runs(call.request_id)] == []
    [node] = site.nodes
    assert node.find_lines("request on a closed connection") == []
    assert node.find_lines("request cut off") == []
    assert not any(line.get("unanswered") for line in node.lines)


@pytest.fixture
async def start_callers(site):
    """Returns a function that starts callers at a limit of the operator."""

    async def start(limit_s, first_use_in_s, length_s, **options):
        operator = Operator(site)
        await operator.set_idle_timeout(limit_s)
        node = site.nodes[0]
        await wait_until(
            lambda: node.find_lines(
                "limits on callers in force", idle_timeout_s=float(limit_s)
            )
        )
        link = await DelayedLink.open(site.stack, node.settings["listen"], LINK_DELAY_S)
        callers = KeptCallers(link.address, operator, **options)
        now = time.monotonic()
        first, last = first_use_in_s
        callers.start((now + first, now + last), now + length_s)
        return operator, callers

    return start


@pytest.mark.parametrize("follows_operator", [False, True])
async def test_lowered_limit_loses_no_request(site, start_callers, follows_operator):
    """Guards against connections closed by a limit that callers cannot know yet."""
    operator, callers = await start_callers(
        LONG_S, (3.9, 5.5), 7.0, follows_operator=follows_operator
    )
    await asyncio.sleep(4.0)
    await operator.set_idle_timeout(SHORT_S)
    await callers.wait()

    check_answered(site, callers)
    assert len(callers.calls) >= CALLERS


@pytest.mark.parametrize("follows_operator", [False, True])
async def test_limits_in_series_lose_no_request(site, start_callers, follows_operator):
    """Guards against a limit that was raised and lowered while connections were idle.

    Some of them were told the short limit, and their callers go by the raised one.
    """
    operator, callers = await start_callers(
        SHORT_S, (3.6, 4.4), 9.0, follows_operator=follows_operator
    )
    await operator.set_idle_timeout(LONG_S)
    await asyncio.sleep(3.6)
    await operator.set_idle_timeout(SHORT_S)
    for limit_s in (3, 1, 4, 2):
        await asyncio.sleep(1.0)
        await operator.set_idle_timeout(limit_s)
    await callers.wait()

    check_answered(site, callers)
    assert len(callers.calls) >= CALLERS // 2


async def test_changes_of_all_kinds_lose_no_request(site, start_callers):
    """Limits change beside large configurations, services that move and SIGHUP."""
    await site.add_upstream("b1", service="service-b")
    operator, callers = await start_callers(3, (1.0, 3.0), 8.0)
    others = [build_rule(f"/other-{number}/") for number in range(300)]
    for number, limit_s in enumerate((6, 1, 4, 1, 2, 5, 1, 6, 2, 1)):
        service = ("service-a", "service-b")[number % 2]
        rules = [build_rule("/safe/", service=service), *others[number:]]
        await operator.set_idle_timeout(
            limit_s,
            *rules,
            services=("service-a", "service-b"),
            header_timeout=f"{1 + number % 3}s",
        )
        site.nodes[0].send_signal(signal.SIGHUP)
        await asyncio.sleep(0.7)
    await callers.wait()

    check_answered(site, callers)
    assert len(callers.calls) >= CALLERS


async def test_stop_amid_changes_loses_no_request(site, start_callers):
    """Callers use connections, however long idle, until the process is gone."""
    operator, callers = await start_callers(LONG_S, (2.2, 6.2), 8.0)
    await asyncio.sleep(2.5)
    await operator.set_idle_timeout(SHORT_S)
    site.nodes[0].send_signal(signal.SIGTERM)
    await asyncio.sleep(0.5)
    await operator.set_idle_timeout(LONG_S)

    assert await site.nodes[0].wait_exit() == 0
    exited_at = time.monotonic()
    await callers.wait()
    check_answered(site, callers, exited_at)
    assert len(callers.calls) >= CALLERS // 2
