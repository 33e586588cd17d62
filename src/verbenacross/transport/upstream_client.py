"""HTTP client towards upstreams."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp

from .attempt_request import AttemptRequest

if TYPE_CHECKING:
    from contextlib import AsyncExitStack

    from multidict import CIMultiDict
    from yarl import URL

    from .single_attempt_middleware import SingleAttemptMiddleware

MS_PER_S = 1_000
KEEPALIVE_S = 15.0
AUTOMATIC_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


class UpstreamClient:
    """Sends requests on reused or on new connections.

    After silence or a foreign answer on a reused connection, an upstream is distrusted
    for as long as idle connections live, so no old connection carries a request.
    """

    def __init__(
        self, reused: aiohttp.ClientSession, fresh: aiohttp.ClientSession
    ) -> None:
        self._reused = reused
        self._fresh = fresh
        self._loop = asyncio.get_running_loop()
        self._timeouts: dict[int, aiohttp.ClientTimeout] = {}
        self._distrusted: dict[str, float] = {}

    @classmethod
    async def from_stack(
        cls, stack: AsyncExitStack, max_header_bytes: int
    ) -> UpstreamClient:
        """Returns a client whose sessions the stack closes."""
        connectors = (
            aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S),
            aiohttp.TCPConnector(limit=0, force_close=True),
        )
        reused, fresh = [
            await stack.enter_async_context(
                aiohttp.ClientSession(
                    connector=connector,
                    cookie_jar=aiohttp.DummyCookieJar(),
                    auto_decompress=False,
                    request_class=AttemptRequest,
                    skip_auto_headers=AUTOMATIC_HEADERS,
                    max_field_size=max_header_bytes,
                    max_line_size=max_header_bytes,
                )
            )
            for connector in connectors
        ]
        return cls(reused, fresh)

    async def send(
        self,
        method: str,
        url: URL,
        headers: CIMultiDict[str],
        body: Any,
        middleware: SingleAttemptMiddleware,
        connect_timeout_ms: int,
        *,
        new_connection: bool,
    ) -> aiohttp.ClientResponse:
        """Returns the head of an answer; raises ``aiohttp.ClientError``."""
        fresh = new_connection or self._is_distrusted(url)
        session = self._fresh if fresh else self._reused
        return await session.request(
            method,
            url,
            headers=headers,
            data=body,
            allow_redirects=False,
            timeout=self._get_timeout(connect_timeout_ms),
            middlewares=(middleware,),
        )

    def distrust(self, url: URL) -> None:
        """Keeps requests off the open connections to an upstream."""
        now = self._loop.time()
        for address, until in list(self._distrusted.items()):
            if until <= now:
                del self._distrusted[address]
        self._distrusted[url.authority] = now + KEEPALIVE_S

    def _is_distrusted(self, url: URL) -> bool:
        if not self._distrusted:
            return False
        until = self._distrusted.get(url.authority)
        return until is not None and until > self._loop.time()

    def _get_timeout(self, connect_timeout_ms: int) -> aiohttp.ClientTimeout:
        timeout = self._timeouts.get(connect_timeout_ms)
        if timeout is None:
            timeout = aiohttp.ClientTimeout(
                total=None, sock_connect=connect_timeout_ms / MS_PER_S
            )
            self._timeouts[connect_timeout_ms] = timeout
        return timeout
