"""Stand-in for the store of the users' platform, with faults per endpoint."""

from __future__ import annotations

import asyncio
import base64
import copy
import json
from contextlib import AsyncExitStack, contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Literal, NoReturn

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Iterator

FIRST_LEASE = 77_120
PAGE_ITEMS = 40
ENDLESS_BLOCK_BYTES = 65_536
# Close to 0, as the HTTP library takes 0 to mean no limit.
CLOSE_TIMEOUT_S = 0.01
STORE_PATH = "/verbenacross/"
# In each response; rises by one when the store is restored from a copy.
ERA_HEADER = "Store-Era"

Fault = Literal["", "busy", "many", "silent", "reset", "lose-answers", "endless"]


@dataclass
class Item:
    """A stored item; ``lease`` is 0 without a lease."""

    key: str
    value: bytes
    revision: int
    create_revision: int
    lease: int

    def describe(self) -> dict[str, Any]:
        """Returns the item in the format of the store's responses."""
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "create_revision": self.create_revision,
            "lease": self.lease,
        }


@dataclass
class StoreCopy:
    """Items, history and leases as they were when the copy was made."""

    items: dict[str, Item]
    revision: int
    history: list[dict[str, Any]]
    compacted_revision: int
    last_lease: int
    leases: dict[int, tuple[float, float]]


@dataclass
class StoreEndpoint:
    """An address of the store, the faults of its responses, and its calls so far."""

    address: str = ""
    fault: Fault = ""
    delay_s: float = 0.0
    calls: list[str] = field(default_factory=list)
    _waiting: set[asyncio.Transport] = field(default_factory=set)

    def reset_connections(self) -> None:
        """Resets the connections of all calls that have no response yet."""
        for transport in [*self._waiting]:
            transport.abort()

    @contextmanager
    def track(self, request: web.BaseRequest) -> Iterator[None]:
        """Lets ``reset_connections`` reset the connection of a call meanwhile."""
        transport = request.transport
        assert transport is not None
        self._waiting.add(transport)
        try:
            yield
        finally:
            self._waiting.discard(transport)


class PlatformStoreStandIn:
    """Items, history and leases in memory, served on any number of addresses."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.era = 1
        # Whether responses name the era.
        self.sends_era = True
        # Whether all endpoints reset their connections, as during a restoration.
        self.is_away = False
        self.history: list[dict[str, Any]] = []
        self.compacted_revision = 0
        self._last_lease = FIRST_LEASE - 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Condition()
        self._endpoints: list[StoreEndpoint] = []
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> PlatformStoreStandIn:
        expiry = asyncio.create_task(self._expire_leases())
        self._stack.callback(expiry.cancel)
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self._stack.aclose()

    async def open_endpoint(self) -> StoreEndpoint:
        """Listens on another address; returns its endpoint."""
        endpoint = StoreEndpoint()
        self._endpoints.append(endpoint)

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            return await self._handle(endpoint, request)

        runner = web.ServerRunner(
            web.Server(handle, access_log=None, handler_cancellation=True),
            shutdown_timeout=CLOSE_TIMEOUT_S,
        )
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = runner.addresses[0][1]
        endpoint.address = f"127.0.0.1:{port}"
        return endpoint

    async def put(self, key: str, value: Any) -> int:
        """Writes a JSON value or bytes without a lease; returns the revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self._changed:
            self._write(key, data, 0)
            self._changed.notify_all()
        return self.revision

    async def remove(self, key: str) -> None:
        """Deletes a key."""
        async with self._changed:
            self._delete(key)
            self._changed.notify_all()

    async def compact_history(self) -> None:
        """Compacts the history: watches from an older revision get 410.

        Watches that already wait for changes from the current revision go on.
        """
        async with self._changed:
            self.history.clear()
            self.compacted_revision = self.revision
            self._changed.notify_all()

    def has_lease(self, lease: int) -> bool:
        """Returns whether a lease was granted and has not ended."""
        return lease in self._leases

    def make_copy(self) -> StoreCopy:
        """Returns a copy that the store can be restored from later."""
        return StoreCopy(
            copy.deepcopy(self.items),
            self.revision,
            [*self.history],
            self.compacted_revision,
            self._last_lease,
            dict(self._leases),
        )

    def go_away(self) -> None:
        """Resets all calls at all endpoints until the store is restored."""
        self.is_away = True
        for endpoint in self._endpoints:
            endpoint.reset_connections()

    async def restore(self, saved: StoreCopy) -> None:
        """Restores a copy: what was written since is lost, and a new era begins.

        Revisions and lease ids are given out again. Leases of the copy run on from the
        moment of the restoration. Waiting watches get 410 if they wait for changes
        after a revision that the copy does not have, the others go on.
        """
        now = asyncio.get_running_loop().time()
        async with self._changed:
            self.items = copy.deepcopy(saved.items)
            self.revision = saved.revision
            self.history = [*saved.history]
            self.compacted_revision = saved.compacted_revision
            self._last_lease = saved.last_lease
            self._leases = {
                lease: (ttl_s, now + ttl_s)
                for lease, (ttl_s, _) in saved.leases.items()
            }
            self.era += 1
            self.is_away = False
            self._changed.notify_all()

    async def _handle(
        self, endpoint: StoreEndpoint, request: web.BaseRequest
    ) -> web.StreamResponse:
        with endpoint.track(request):
            response = await self._respond(endpoint, request)
        if self.sends_era and not response.prepared:
            response.headers[ERA_HEADER] = str(self.era)
        return response

    async def _respond(
        self, endpoint: StoreEndpoint, request: web.BaseRequest
    ) -> web.StreamResponse:
        path = request.path.removeprefix(STORE_PATH)
        endpoint.calls.append(path)
        match "reset" if self.is_away else endpoint.fault:
            case "busy":
                return web.json_response({}, status=503)
            case "many":
                return web.json_response({}, status=429)
            case "silent":
                await asyncio.Event().wait()
            case "reset":
                assert request.transport is not None
                request.transport.abort()
            case "endless":
                return await self._respond_without_end(request)
        await asyncio.sleep(endpoint.delay_s)
        response = await self._serve(path, request)
        if endpoint.fault == "lose-answers" and request.method == "POST":
            assert request.transport is not None
            request.transport.abort()
        return response

    async def _respond_without_end(self, request: web.BaseRequest) -> NoReturn:
        """Writes a response until the caller closes the connection."""
        response = web.StreamResponse()
        await response.prepare(request)
        while True:
            await response.write(bytes(ENDLESS_BLOCK_BYTES))

    async def _serve(self, path: str, request: web.BaseRequest) -> web.Response:
        name, _, argument = path.partition("/")
        match request.method, name:
            case "GET", "kv-key":
                return self._read_key(request.query["key"])
            case "GET", "kv-range":
                return self._read_range(request.query)
            case "GET", "kv-watch":
                return await self._watch(request.query)
            case "POST", "kv-txn":
                return await self._commit_transaction(json.loads(await request.read()))
            case "POST", "kv-lease":
                return self._grant_lease(json.loads(await request.read())["ttl_time"])
            case "POST", "kv-keep":
                return self._renew_lease(int(argument))
            case "DELETE", "kv-lease-end":
                return await self._end_lease(int(argument))
        return web.json_response({}, status=404)

    def _read_key(self, key: str) -> web.Response:
        item = self.items.get(key)
        if item is None:
            return web.json_response({"at": self.revision}, status=404)
        return web.json_response(item.describe() | {"at": self.revision})

    def _read_range(self, query: Any) -> web.Response:
        after = query.get("after", "")
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["path_prefix"]) and key > after
        )
        page = [self.items[key].describe() for key in keys[:PAGE_ITEMS]]
        truncated = len(keys) > PAGE_ITEMS
        body = {"items": page, "truncated": truncated, "at": self.revision}
        return web.json_response(body)

    async def _watch(self, query: Any) -> web.Response:
        after = int(query["after"])
        if not self._has_history(after):
            return web.json_response({}, status=410)
        prefix = query["path_prefix"]
        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000), self._changed:
                while self._has_history(after) and not self._find_events(prefix, after):
                    await self._changed.wait()
        except TimeoutError:
            return web.json_response({"events": [], "at": self.revision})
        if not self._has_history(after):
            return web.json_response({}, status=410)
        events = self._find_events(prefix, after)
        return web.json_response({"events": events, "at": self.revision})

    def _has_history(self, after: int) -> bool:
        return self.compacted_revision <= after <= self.revision

    def _find_events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self.history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]

    async def _commit_transaction(self, body: Any) -> web.Response:
        async with self._changed:
            for row in body["precondition"]:
                item = self.items.get(row["key"])
                if (item.revision if item else 0) != row["revision"]:
                    rows = [
                        self.items[row["key"]].describe()
                        for row in body["precondition"]
                        if row["key"] in self.items
                    ]
                    return web.json_response({"items": rows}, status=412)
            for write in body["writes"]:
                lease = write.get("lease", 0)
                if lease and lease not in self._leases:
                    return web.json_response({}, status=404)
            for write in body["writes"]:
                value = base64.b64decode(write["value"])
                self._write(write["key"], value, write.get("lease", 0))
            for key in body["deletes"]:
                self._delete(key)
            self._changed.notify_all()
        return web.json_response({"revision": self.revision})

    def _grant_lease(self, ttl: str) -> web.Response:
        ttl_s = int(ttl.removesuffix("ms")) / 1000
        self._last_lease += 1
        lease = self._last_lease
        self._leases[lease] = (ttl_s, asyncio.get_running_loop().time() + ttl_s)
        return web.json_response({"lease": lease, "ttl_time": ttl})

    def _renew_lease(self, lease: int) -> web.Response:
        if lease not in self._leases:
            return web.json_response({}, status=404)
        ttl_s, _ = self._leases[lease]
        self._leases[lease] = (ttl_s, asyncio.get_running_loop().time() + ttl_s)
        return web.json_response({"ttl_time": f"{round(ttl_s * 1000)}ms"})

    async def _end_lease(self, lease: int) -> web.Response:
        async with self._changed:
            self._leases.pop(lease, None)
            for item in [*self.items.values()]:
                if item.lease == lease:
                    self._delete(item.key)
            self._changed.notify_all()
        return web.json_response({})

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = asyncio.get_running_loop().time()
            for lease, (_, expires_at) in [*self._leases.items()]:
                if expires_at < now:
                    await self._end_lease(lease)

    def _write(self, key: str, value: bytes, lease: int) -> None:
        self.revision += 1
        existing = self.items.get(key)
        created = existing.create_revision if existing else self.revision
        item = Item(key, value, self.revision, created, lease)
        self.items[key] = item
        self.history.append(item.describe())

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append(
                {"key": key, "revision": self.revision, "deleted": True}
            )
