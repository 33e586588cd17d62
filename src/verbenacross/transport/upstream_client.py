"""HTTP client for upstreams."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
from yarl import URL

from .attempt_request import AttemptRequest
from .upstream_protocol import UpstreamConnector

if TYPE_CHECKING:
    from contextlib import AsyncExitStack

    from multidict import CIMultiDict

    from .single_attempt_middleware import SingleAttemptMiddleware

MS_PER_S = 1_000
KEEPALIVE_S = 15.0
# Reading from a connection pauses while twice this is unread.
READ_BUFFER_BYTES = 32_768
AUTOMATIC_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


class UpstreamClient:
    """Sends requests to upstreams on pooled or on new connections.

    After a timeout or an unusable response on a reused connection, connections to that
    upstream are not reused until those idle now have expired.
    """

    def __init__(
        self, pooled: aiohttp.ClientSession, unpooled: aiohttp.ClientSession
    ) -> None:
        self._pooled = pooled
        self._unpooled = unpooled
        self._loop = asyncio.get_running_loop()
        self._timeouts: dict[int, aiohttp.ClientTimeout] = {}
        self._reuse_disabled: dict[str, float] = {}

    @classmethod
    async def from_stack(
        cls, stack: AsyncExitStack, max_header_bytes: int
    ) -> UpstreamClient:
        """Creates a client whose sessions are closed by the stack."""
        connectors = (
            UpstreamConnector(limit=0, keepalive_timeout=KEEPALIVE_S),
            UpstreamConnector(limit=0, force_close=True),
        )
        pooled, unpooled = [
            await stack.enter_async_context(
                aiohttp.ClientSession(
                    connector=connector,
                    cookie_jar=aiohttp.DummyCookieJar(),
                    auto_decompress=False,
                    request_class=AttemptRequest,
                    skip_auto_headers=AUTOMATIC_HEADERS,
                    max_field_size=max_header_bytes,
                    max_line_size=max_header_bytes,
                    read_bufsize=READ_BUFFER_BYTES,
                )
            )
            for connector in connectors
        ]
        return cls(pooled, unpooled)

    async def send(
        self,
        method: str,
        origin: str,
        target: str,
        headers: CIMultiDict[str],
        body: Any,
        middleware: SingleAttemptMiddleware,
        connect_timeout_ms: int,
        *,
        new_connection: bool,
    ) -> aiohttp.ClientResponse:
        """Sends a request and returns the response, whose body is still to be read.

        ``target`` is sent as it is. Raises ``aiohttp.ClientError``.
        """
        url = URL(origin + target, encoded=True)
        middleware.target = target
        unpooled = new_connection or self._is_reuse_disabled(url)
        session = self._unpooled if unpooled else self._pooled
        return await session.request(
            method,
            url,
            headers=headers,
            data=body,
            allow_redirects=False,
            timeout=self._get_timeout(connect_timeout_ms),
            middlewares=(middleware,),
        )

    def disable_reuse(self, url: URL) -> None:
        """Disables connection reuse for an upstream until idle connections expire."""
        now = self._loop.time()
        for address, until in list(self._reuse_disabled.items()):
            if until <= now:
                del self._reuse_disabled[address]
        self._reuse_disabled[url.authority] = now + KEEPALIVE_S

    def _is_reuse_disabled(self, url: URL) -> bool:
        if not self._reuse_disabled:
            return False
        until = self._reuse_disabled.get(url.authority)
        return until is not None and until > self._loop.time()

    def _get_timeout(self, connect_timeout_ms: int) -> aiohttp.ClientTimeout:
        timeout = self._timeouts.get(connect_timeout_ms)
        if timeout is None:
            timeout = aiohttp.ClientTimeout(
                total=None, sock_connect=connect_timeout_ms / MS_PER_S
            )
            self._timeouts[connect_timeout_ms] = timeout
        return timeout
