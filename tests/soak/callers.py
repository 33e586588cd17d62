"""Callers that use kept and new connections until the soak ends."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from .fleet import MARKER_PATH, SoakFleet

if TYPE_CHECKING:
    from collections.abc import Iterable

DEADLINE_S = 1.0
# Beyond the deadline, for a loaded machine.
PATIENCE_S = 3.0
PAUSE_S = 0.05
KEPT_CALLERS = 6
NEW_CALLERS = 3


class Call(NamedTuple):
    """A call and its end; ``status`` is ``None`` without an answer."""

    request_id: str
    node: str
    path: str
    sent_at: float
    ended_at: float
    status: int | None
    signature: str | None
    body: bytes
    error: str


class Callers:
    """Callers of all nodes; ``calls`` holds what they saw."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self.calls: list[Call] = []
        self._fleet = fleet
        self._generator = random.Random(seed)
        self._count = 0
        self._stopped = False

    async def run(self) -> None:
        """Calls until stopped."""
        async with asyncio.TaskGroup() as group:
            for force_close in [False] * KEPT_CALLERS + [True] * NEW_CALLERS:
                group.create_task(self._call_often(force_close))

    def stop(self) -> None:
        """Ends all callers after their calls."""
        self._stopped = True

    async def _call_often(self, force_close: bool) -> None:
        connector = aiohttp.TCPConnector(force_close=force_close)
        async with aiohttp.ClientSession(connector=connector) as session:
            while not self._stopped:
                await self._call(session)
                await asyncio.sleep(self._generator.uniform(0, 2 * PAUSE_S))

    def _choose_path(self) -> str:
        newest = max(self._fleet.versions)
        paths: Iterable[str] = ("/safe/x", "/once/x", f"{MARKER_PATH}{newest}/x")
        return self._generator.choices([*paths], [4, 4, 1])[0]

    async def _call(self, session: aiohttp.ClientSession) -> None:
        self._count += 1
        request_id = f"r{self._count}"
        node = self._generator.choice([*self._fleet.addresses])
        path = self._choose_path()
        headers = {
            "Host": "host.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        method = "POST" if path.startswith("/once/") else "GET"
        sent_at = time.monotonic()
        status, signature, body, error = None, None, b"", ""
        try:
            async with (
                asyncio.timeout(DEADLINE_S + PATIENCE_S),
                session.request(
                    method,
                    f"http://{self._fleet.addresses[node]}{path}",
                    headers=headers,
                    middlewares=(send_once,),
                ) as answer,
            ):
                body = await answer.read()
                status = answer.status
                signature = answer.headers.get("X-Upstream-Signature")
        except (aiohttp.ClientError, TimeoutError, OSError) as problem:
            error = repr(problem)
        self.calls.append(
            Call(
                request_id,
                node,
                path,
                sent_at,
                time.monotonic(),
                status,
                signature,
                body,
                error,
            )
        )


class SentOnceError(aiohttp.ClientError):
    """A connection broke; the HTTP client must not repeat the request by itself."""


async def send_once(request, handler):
    """Keeps the HTTP client from repeating a request on another connection."""
    try:
        return await handler(request)
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise SentOnceError(repr(error)) from error
