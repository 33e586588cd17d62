"""Proxy with one central queue: the best result that a balancer could reach.

It knows every slot and forwards a request only to a free one, short requests first, so
nothing ever waits on an upstream. Long requests use at most ``MAX_LONG_SLOTS`` slots of
an upstream, as the policy default ``long_share`` allows.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import json
import pathlib
import random
from typing import Any

import aiohttp
from aiohttp import web

MAX_LONG_SLOTS = 2


class Upstream:
    """Slots in use on one upstream."""

    def __init__(self, url: str) -> None:
        self.url = url
        self.in_flight = 0
        self.long_in_flight = 0


class ServiceQueue:
    """Queue of one service, short requests first, then by arrival."""

    def __init__(self, urls: list[str], slots: int) -> None:
        self._upstreams = [Upstream(url) for url in urls]
        self._slots = slots
        self._waiting: dict[bool, collections.deque[asyncio.Future[Upstream]]] = {
            False: collections.deque(),
            True: collections.deque(),
        }

    async def acquire(self, is_long: bool) -> Upstream:
        """Waits for a free slot, takes it and returns its upstream."""
        future: asyncio.Future[Upstream] = asyncio.get_running_loop().create_future()
        self._waiting[is_long].append(future)
        self._dispatch()
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release(future.result(), is_long)
            raise

    def release(self, upstream: Upstream, is_long: bool) -> None:
        """Frees a slot."""
        upstream.in_flight -= 1
        upstream.long_in_flight -= is_long
        self._dispatch()

    def _dispatch(self) -> None:
        for is_long in (False, True):
            waiting = self._waiting[is_long]
            while waiting:
                if waiting[0].done():
                    waiting.popleft()
                    continue
                upstream = self._find_free(is_long)
                if upstream is None:
                    break
                upstream.in_flight += 1
                upstream.long_in_flight += is_long
                waiting.popleft().set_result(upstream)

    def _find_free(self, is_long: bool) -> Upstream | None:
        free = [
            upstream
            for upstream in self._upstreams
            if upstream.in_flight < self._slots
            and (not is_long or upstream.long_in_flight < MAX_LONG_SLOTS)
        ]
        if not free:
            return None
        return min(free, key=lambda upstream: (upstream.in_flight, random.random()))


class CentralQueue:
    """HTTP proxy with a queue for each service."""

    def __init__(
        self, services: dict[str, list[str]], slots: int, session: aiohttp.ClientSession
    ) -> None:
        self._queues = {
            name: ServiceQueue(urls, slots) for name, urls in services.items()
        }
        self._session = session

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Forwards one request, or responds with 504 after its time-out."""
        _, service, size = request.path.split("/")
        queue = self._queues[service]
        is_long = size == "long"
        timeout_s = int(request.headers["Request-Timeout-Ms"]) / 1e3
        try:
            async with asyncio.timeout(timeout_s):
                upstream = await queue.acquire(is_long)
                try:
                    return await self._forward(request, upstream)
                finally:
                    queue.release(upstream, is_long)
        except TimeoutError:
            return web.Response(status=504)

    async def _forward(
        self, request: web.BaseRequest, upstream: Upstream
    ) -> web.Response:
        headers: dict[str, Any] = dict(request.headers)
        url = upstream.url + request.path_qs
        async with self._session.get(url, headers=headers) as response:
            return web.Response(status=response.status, body=await response.read())


async def run(config_path: str, port: int) -> None:
    """Serves until the process is terminated."""
    config = json.loads(pathlib.Path(config_path).read_text())
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        proxy = CentralQueue(config["services"], config["slots"], session)
        runner = web.ServerRunner(web.Server(proxy.handle, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        await asyncio.Event().wait()


def main() -> None:
    """Runs the central queue."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--config", required=True)
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    asyncio.run(run(arguments.config, arguments.port))


if __name__ == "__main__":
    main()
