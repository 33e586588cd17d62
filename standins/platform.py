"""Stand-in for the platform: key-value store and instance list over HTTP.

``POST /control`` sets faults: ``down`` (bool), ``delay_ms``, ``lose_answers`` (number
of writes that take effect but whose connection then breaks), ``hold_watches`` (bool),
``list_delay_s`` (how far the instance list lags). ``GET /control/calls`` counts calls.
``POST /control/copy`` saves a copy of the store, ``POST /control/restore`` restores it:
an era begins, which the store names from then on.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import hashlib
import json
import time
import uuid
from typing import Any, NamedTuple

from aiohttp import web

MAX_VALUE_BYTES = 1_048_576
MAX_LIST_BYTES = 16_777_216
MAX_EVENTS = 100_000
ERA_HEADER = "Store-Era"
MS_PER_S = 1_000
LEASE_CHECK_INTERVAL_S = 0.05


class StoredEntry(NamedTuple):
    """A value with its modification revision and lease."""

    value: str
    revision: int
    lease: str | None


class Lease:
    """A lease; ``expires_at`` is on the monotonic clock, in seconds."""

    def __init__(self, ttl_ms: int) -> None:
        self.ttl_s = ttl_ms / MS_PER_S
        self.expires_at = time.monotonic() + self.ttl_s
        self.keys: set[str] = set()

    def renew(self) -> None:
        """Extends the lease by its time to live."""
        self.expires_at = time.monotonic() + self.ttl_s


class PlatformStandIn:
    """Key-value store and instance list in memory."""

    def __init__(self) -> None:
        self.revision = 0
        self.entries: dict[str, StoredEntry] = {}
        self.events: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self.leases: dict[str, Lease] = {}
        self.era = 0
        self.copy: tuple[int, dict[str, StoredEntry]] = (0, {})
        self.oldest_revision = 0
        self.instances: list[dict[str, Any]] = []
        self.visible_instances: list[dict[str, Any]] = []
        self.faults: dict[str, Any] = {
            "down": False,
            "delay_ms": 0,
            "lose_answers": 0,
            "hold_watches": False,
            "list_delay_s": 0.0,
        }
        self.calls: collections.Counter[str] = collections.Counter()
        self.call_times: collections.deque[float] = collections.deque(maxlen=200_000)
        self.change_condition = asyncio.Condition()

    def build_application(self) -> web.Application:
        """Returns the HTTP application."""
        application = web.Application(
            middlewares=[self.apply_faults], client_max_size=MAX_LIST_BYTES
        )
        application.add_routes(
            [
                web.get("/v1/kv", self.read_prefix),
                web.get("/v1/kv/{key:.+}", self.read_key),
                web.put("/v1/kv/{key:.+}", self.write_key),
                web.delete("/v1/kv/{key:.+}", self.delete_key),
                web.get("/v1/watch", self.watch),
                web.post("/v1/leases", self.grant_lease),
                web.post("/v1/leases/{lease}/renew", self.renew_lease),
                web.delete("/v1/leases/{lease}", self.revoke_lease),
                web.get("/v1/instances", self.list_instances),
                web.put("/control/instances", self.set_instances),
                web.post("/control", self.set_faults),
                web.get("/control/calls", self.count_calls),
                web.post("/control/copy", self.save_copy),
                web.post("/control/restore", self.restore_copy),
            ]
        )
        application.cleanup_ctx.append(self.run_lease_expiry)
        return application

    @web.middleware
    async def apply_faults(self, request: web.Request, handler: Any) -> Any:
        """Counts calls to the store and applies the configured faults."""
        if request.path.startswith("/control"):
            return await handler(request)
        is_store_call = not request.path.startswith("/v1/instances")
        if is_store_call:
            self.calls[f"{request.method} {request.path.split('/')[2]}"] += 1
            self.call_times.append(time.time())
        if self.faults["delay_ms"]:
            await asyncio.sleep(self.faults["delay_ms"] / MS_PER_S)
        if self.faults["down"] and is_store_call:
            return break_connection(request)
        era = self.era
        response = await handler(request)
        if era != self.era and is_store_call:
            return break_connection(request)
        if era:
            response.headers[ERA_HEADER] = str(era)
        writes = request.method in ("PUT", "DELETE", "POST")
        if is_store_call and writes and self.faults["lose_answers"] > 0:
            self.faults["lose_answers"] -= 1
            return break_connection(request)
        if self.faults["down"] and is_store_call:
            return break_connection(request)
        return response

    async def read_prefix(self, request: web.Request) -> web.Response:
        """Serves all entries under a prefix."""
        prefix = request.query.get("prefix", "")
        entries = [
            {"key": key, "value": entry.value, "revision": entry.revision}
            for key, entry in self.entries.items()
            if key.startswith(prefix)
        ]
        return web.json_response({"revision": self.revision, "entries": entries})

    async def read_key(self, request: web.Request) -> web.Response:
        """Serves one entry."""
        key = request.match_info["key"]
        entry = self.entries.get(key)
        if entry is None:
            return web.json_response({"revision": self.revision}, status=404)
        return web.json_response(
            {"key": key, "value": entry.value, "revision": entry.revision}
        )

    async def write_key(self, request: web.Request) -> web.Response:
        """Writes a value by compare-and-swap."""
        key = request.match_info["key"]
        body = await request.json()
        if len(body["value"].encode()) > MAX_VALUE_BYTES:
            return web.json_response({"error": "value too large"}, status=413)
        current = self.entries[key].revision if key in self.entries else 0
        if current != int(body["expected_revision"]):
            return web.json_response({"revision": current}, status=409)
        lease = body.get("lease_id")
        if lease is not None:
            if lease not in self.leases:
                return web.json_response({"error": "unknown lease"}, status=404)
            self.leases[lease].keys.add(key)
        await self.apply_change(key, body["value"], lease)
        return web.json_response({"revision": self.revision})

    async def delete_key(self, request: web.Request) -> web.Response:
        """Deletes a key by compare-and-swap."""
        key = request.match_info["key"]
        current = self.entries[key].revision if key in self.entries else 0
        if current != int(request.query["expected_revision"]):
            return web.json_response({"revision": current}, status=409)
        await self.apply_change(key, None, None)
        return web.json_response({"revision": self.revision})

    async def apply_change(
        self, key: str, value: str | None, lease: str | None
    ) -> None:
        """Applies a change and notifies the watches."""
        self.revision += 1
        if value is None:
            self.entries.pop(key, None)
        else:
            self.entries[key] = StoredEntry(value, self.revision, lease)
        self.events.append({"key": key, "value": value, "revision": self.revision})
        async with self.change_condition:
            self.change_condition.notify_all()

    async def watch(self, request: web.Request) -> web.Response:
        """Serves the changes after a revision; waits until there is one (long poll)."""
        prefix = request.query.get("prefix", "")
        after = int(request.query["after_revision"])
        deadline = time.monotonic() + int(request.query["wait_ms"]) / MS_PER_S
        oldest = self.events[0]["revision"] if self.events else 1
        if after > self.revision or after + 1 < oldest or after < self.oldest_revision:
            return web.json_response({"revision": self.revision}, status=410)
        while True:
            revision = self.revision
            entries = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining_s = deadline - time.monotonic()
            held = self.faults["hold_watches"]
            if (entries and not held) or remaining_s <= 0 or self.faults["down"]:
                visible = [] if held else entries
                response = {"revision": after if held else revision, "entries": visible}
                return web.json_response(response)
            try:
                async with asyncio.timeout(remaining_s), self.change_condition:
                    await self.change_condition.wait()
            except TimeoutError:
                continue

    async def grant_lease(self, request: web.Request) -> web.Response:
        """Grants a lease."""
        body = await request.json()
        lease = uuid.uuid4().hex
        self.leases[lease] = Lease(int(body["ttl_ms"]))
        return web.json_response({"lease_id": lease, "ttl_ms": body["ttl_ms"]})

    async def renew_lease(self, request: web.Request) -> web.Response:
        """Renews a lease."""
        lease = self.leases.get(request.match_info["lease"])
        if lease is None:
            return web.json_response({}, status=404)
        lease.renew()
        return web.json_response({})

    async def revoke_lease(self, request: web.Request) -> web.Response:
        """Revokes a lease and deletes its keys."""
        await self.delete_lease(request.match_info["lease"])
        return web.json_response({})

    async def delete_lease(self, identifier: str) -> None:
        """Deletes a lease and the keys written with it."""
        lease = self.leases.pop(identifier, None)
        if lease is None:
            return
        for key in lease.keys:
            entry = self.entries.get(key)
            if entry is not None and entry.lease == identifier:
                await self.apply_change(key, None, None)

    async def run_lease_expiry(self, application: web.Application) -> Any:
        """Runs ``expire_leases`` while the application runs."""
        task = asyncio.create_task(self.expire_leases())
        yield
        task.cancel()

    async def expire_leases(self) -> None:
        """Deletes expired leases and their keys until cancelled."""
        while True:
            now = time.monotonic()
            for identifier, lease in list(self.leases.items()):
                if lease.expires_at < now:
                    await self.delete_lease(identifier)
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)

    async def list_instances(self, request: web.Request) -> web.Response:
        """Serves the visible instance list, with an entity tag."""
        body = json.dumps({"instances": self.visible_instances}).encode()
        tag = f'"{hashlib.sha256(body).hexdigest()}"'
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=304, headers={"ETag": tag})
        return web.Response(
            body=body, content_type="application/json", headers={"ETag": tag}
        )

    async def set_instances(self, request: web.Request) -> web.Response:
        """Sets the instance list; it becomes visible after the lag."""
        self.instances = (await request.json())["instances"]
        visible = list(self.instances)
        delay_s = self.faults["list_delay_s"]
        if delay_s:
            asyncio.get_running_loop().call_later(
                delay_s, self.publish_instances, visible
            )
        else:
            self.publish_instances(visible)
        return web.json_response({})

    def publish_instances(self, instances: list[dict[str, Any]]) -> None:
        """Makes an instance list visible to callers."""
        self.visible_instances = instances

    async def set_faults(self, request: web.Request) -> web.Response:
        """Sets faults."""
        self.faults.update(await request.json())
        async with self.change_condition:
            self.change_condition.notify_all()
        return web.json_response(self.faults)

    async def save_copy(self, request: web.Request) -> web.Response:
        """Saves a copy of the store."""
        self.copy = (self.revision, dict(self.entries))
        return web.json_response({"revision": self.revision})

    async def restore_copy(self, request: web.Request) -> web.Response:
        """Restores the store from its copy; leases and history are lost."""
        self.revision, entries = self.copy
        self.entries = dict(entries)
        self.events.clear()
        self.oldest_revision = self.revision
        self.leases.clear()
        self.era += 1
        async with self.change_condition:
            self.change_condition.notify_all()
        return web.json_response({"revision": self.revision, "era": self.era})

    async def count_calls(self, request: web.Request) -> web.Response:
        """Serves the calls to the store by kind, and wall-clock times of the latest."""
        return web.json_response(
            {"calls": dict(self.calls), "times": list(self.call_times)}
        )


def break_connection(request: web.Request) -> web.Response:
    """Aborts the connection without a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()

    async def build() -> web.Application:
        return PlatformStandIn().build_application()

    web.run_app(
        build(), host=arguments.host, port=arguments.port, print=None, access_log=None
    )


if __name__ == "__main__":
    main()
