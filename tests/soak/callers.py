"""Callers on persistent and on new connections, which call until the soak ends."""

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
# Added to the deadline as the client time-out, as the machine may be loaded.
TIMEOUT_MARGIN_S = 3.0
PAUSE_S = 0.05
KEEP_ALIVE_CALLERS = 6
CLOSING_CALLERS = 3


class Call(NamedTuple):
    """A call and its result; ``status`` is ``None`` if no response came."""

    request_id: str
    node: str
    path: str
    sent_at: float
    ended_at: float
    status: int | None
    signature: str | None
    is_leaving: bool
    body: bytes
    error: str


class Callers:
    """Callers of all nodes; ``calls`` records every call with its result."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self.calls: list[Call] = []
        self._fleet = fleet
        self._generator = random.Random(seed)
        self._count = 0
        self._stopped = False

    async def run(self) -> None:
        """Sends calls from all callers until ``stop`` is called."""
        async with asyncio.TaskGroup() as group:
            for force_close in [False] * KEEP_ALIVE_CALLERS + [True] * CLOSING_CALLERS:
                group.create_task(self._call_repeatedly(force_close))

    def stop(self) -> None:
        """Stops each caller once its current call has completed."""
        self._stopped = True

    async def _call_repeatedly(self, force_close: bool) -> None:
        connector = aiohttp.TCPConnector(force_close=force_close)
        async with aiohttp.ClientSession(connector=connector) as session:
            while not self._stopped:
                await self._call(session)
                await asyncio.sleep(self._generator.uniform(0, 2 * PAUSE_S))

    def _choose_path(self) -> str:
        newest = max(self._fleet.acknowledged_at)
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
        status, signature, is_leaving, body, error = None, None, False, b"", ""
        try:
            async with (
                asyncio.timeout(DEADLINE_S + TIMEOUT_MARGIN_S),
                session.request(
                    method,
                    f"http://{self._fleet.addresses[node]}{path}",
                    headers=headers,
                    middlewares=(block_client_retry,),
                ) as response,
            ):
                body = await response.read()
                status = response.status
                signature = response.headers.get("X-Upstream-Signature")
                is_leaving = response.headers.get("Server-Leaving") == "1"
        except (aiohttp.ClientError, TimeoutError, OSError) as exception:
            error = repr(exception)
        self.calls.append(
            Call(
                request_id,
                node,
                path,
                sent_at,
                time.monotonic(),
                status,
                signature,
                is_leaving,
                body,
                error,
            )
        )


class ClientRetryBlockedError(aiohttp.ClientError):
    """A connection broke, and the HTTP client was kept from retrying the request."""


async def block_client_retry(request, handler):
    """Client middleware that keeps aiohttp from retrying on another connection.

    Raises an error that the client does not retry, so that each call is sent once.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ClientRetryBlockedError(repr(error)) from error
