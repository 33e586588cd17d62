"""The store's stand-in with a bounded history and fast answers to watches."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from aiohttp import web

from standins.platform_store import PlatformStoreStandIn

# The platform's store keeps this much history, in seconds.
HISTORY_S = 20.0
EXPIRY_INTERVAL_S = 0.25


class BoundedHistoryStore(PlatformStoreStandIn):
    """Encodes each event once, so that long answers to watches take no longer."""

    def __init__(self) -> None:
        super().__init__()
        # Revision, time and encoded event, in order.
        self._events: list[tuple[int, float, bytes]] = []

    async def __aenter__(self) -> BoundedHistoryStore:
        await super().__aenter__()
        expiry = asyncio.create_task(self._expire_history())
        self._stack.callback(expiry.cancel)
        return self

    def _write(self, key: str, value: bytes, lease: int) -> None:
        super()._write(key, value, lease)
        self._encode_newest()

    def _delete(self, key: str) -> None:
        before = self.revision
        super()._delete(key)
        if self.revision != before:
            self._encode_newest()

    def _encode_newest(self) -> None:
        event = self.history.pop()
        row = (event["revision"], time.monotonic(), json.dumps(event).encode())
        self._events.append(row)

    async def _watch(self, query: Any) -> web.Response:
        after = int(query["after"])
        if query["path_prefix"]:
            raise NotImplementedError("only watches of all keys")
        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000), self._changed:
                while self.compacted_revision <= after >= self.revision:
                    await self._changed.wait()
        except TimeoutError:
            pass
        if after < self.compacted_revision:
            return web.json_response({}, status=410)
        events = [row[2] for row in self._events if row[0] > after]
        body = b'{"events": [' + b", ".join(events) + b'], "at": %d}' % self.revision
        return web.Response(body=body, content_type="application/json")

    async def _expire_history(self) -> None:
        while True:
            oldest = time.monotonic() - HISTORY_S
            while self._events and self._events[0][1] < oldest:
                self.compacted_revision = self._events.pop(0)[0]
            await asyncio.sleep(EXPIRY_INTERVAL_S)
