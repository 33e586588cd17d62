"""The era in the store's responses: missing, unreadable, lower, or of two reads."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager, suppress

import aiohttp
import pytest
from aiohttp import web

from standins.platform_store import PAGE_ITEMS, PlatformStoreStandIn
from verbenacross.infrastructure.exceptions import (
    HistoryLostError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from verbenacross.platform.store import ERA_HEADER, PlatformStore

TIMEOUT_S = 2.0
LEASE_TTL_MS = 10_000


class ScriptedStore:
    """Answers each call with the next era and body; ``None`` sends no era."""

    def __init__(self) -> None:
        self.eras: list[str | None] = []
        self.bodies: list[dict] = []
        self.status = 200
        self.calls = 0

    async def handle(self, request: web.BaseRequest) -> web.Response:
        self.calls += 1
        era = self.eras.pop(0)
        body = self.bodies.pop(0) if self.bodies else {"at": 7, "items": []}
        headers = {} if era is None else {ERA_HEADER: era}
        return web.Response(status=self.status, text=json.dumps(body), headers=headers)


@asynccontextmanager
async def open_store():
    scripted = ScriptedStore()
    runner = web.ServerRunner(web.Server(scripted.handle, access_log=None))
    await runner.setup()
    try:
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        address = f"127.0.0.1:{runner.addresses[0][1]}"
        async with aiohttp.ClientSession() as session:
            yield scripted, PlatformStore(session, address, TIMEOUT_S)
    finally:
        await runner.cleanup()


async def test_store_without_eras_is_of_era_zero():
    """Guards against a platform without eras that can no longer be used."""
    async with open_store() as (scripted, store):
        scripted.eras = [None, None]

        assert (await store.read_prefix("")).position == (0, 7)
        assert await store.check() == 0


@pytest.mark.parametrize(
    "text", ["", "x", "-1", "+4", "1.0", "4e1", "0x4", "4 5", "\u0664", "9" * 4_301]
)
async def test_missing_or_unreadable_era_is_the_last_one(text):
    """Guards against an era that is made up from a header that is no whole number."""
    async with open_store() as (scripted, store):
        scripted.eras = ["3", text, None]

        for _ in range(3):
            assert (await store.read_prefix("")).era == 3
        assert store.era == 3


async def test_response_of_a_lower_era_is_not_used():
    """Guards against late responses that bring back what the return has replaced."""
    item = {"key": "a", "revision": 1, "value": ""}
    async with open_store() as (scripted, store):
        scripted.eras = ["2", "1", "1", "1", "1", "2"]
        scripted.bodies = [
            {"at": 7, "items": []},
            {"at": 9, "items": [item]},
            {"at": 9, "events": [item]},
            {"lease": 5, "ttl_time": "10s"},
            item,
            {"at": 8, "items": []},
        ]
        await store.read_prefix("")

        for call in (
            lambda: store.read_prefix(""),
            lambda: store.watch("", 7, 0),
            lambda: store.grant_lease(LEASE_TTL_MS),
            lambda: store.get("a"),
        ):
            with pytest.raises(StoreUnavailableError):
                await call()
            assert store.era == 2

        assert (await store.read_prefix("")).position == (2, 8)


async def test_stale_check_of_a_lower_era_does_not_lower_the_era():
    """Guards against a check of a stale copy that counts as a second return."""
    async with open_store() as (scripted, store):
        scripted.eras = ["2", "1", "2"]
        await store.read_prefix("")

        assert await store.check() == 2
        assert await store.check() == 2


async def test_era_is_learned_from_refused_calls():
    """Guards against a return that is not seen as the store is busy or has no such key.

    410 and 404 are the first answers that many calls get after a return.
    """
    for status in (404, 410, 412, 429, 503):
        async with open_store() as (scripted, store):
            scripted.eras = ["1", "2"]
            await store.read_prefix("")
            scripted.status = status
            scripted.bodies = [{"items": []}]

            with suppress(StoreError):
                await store.renew_lease("5")

            assert store.era == 2


@pytest.mark.parametrize("eras", [["1", "2"], ["1", "1", "2"], ["2", "3", "2"]])
async def test_pages_of_two_eras_are_not_one_read(eras):
    """Guards against a copy of the store that mixes the records of two eras."""
    pages = [
        {
            "at": 7,
            "truncated": number < len(eras) - 1,
            "items": [{"key": f"key-{number}", "revision": 1, "value": ""}],
        }
        for number in range(len(eras))
    ]
    async with open_store() as (scripted, store):
        scripted.eras, scripted.bodies = [*eras], pages

        with pytest.raises(HistoryLostError):
            await store.read_prefix("")

        assert store.era == max(map(int, eras))
        scripted.eras, scripted.bodies = [str(store.era)], []
        assert (await store.read_prefix("")).position == (store.era, 7)


async def test_page_without_era_after_pages_with_one_is_of_the_same_read():
    """Guards against a read that never ends on a platform that drops the header."""
    async with open_store() as (scripted, store):
        scripted.eras = ["2", None]
        item = {"key": "a", "revision": 1, "value": ""}
        scripted.bodies = [
            {"at": 7, "truncated": True, "items": [item]},
            {"at": 8, "items": [item | {"key": "b"}]},
        ]

        snapshot = await store.read_prefix("")

        assert snapshot.position == (2, 7)
        assert [value.key for value in snapshot.values] == ["a", "b"]


async def test_store_restored_between_two_pages():
    """Guards against the same with the stand-in, which answers page by page."""
    async with PlatformStoreStandIn() as stand_in, aiohttp.ClientSession() as session:
        endpoint = await stand_in.open_endpoint()
        store = PlatformStore(session, endpoint.address, TIMEOUT_S)
        for number in range(2 * PAGE_ITEMS):
            await stand_in.put(f"key-{number:04}", {})
        saved = stand_in.make_copy()
        await stand_in.put("key-9999", {})
        endpoint.delay_s = 0.1
        reading = asyncio.create_task(store.read_prefix(""))
        while len(endpoint.calls) < 2:
            await asyncio.sleep(0.01)
        await stand_in.restore(saved)

        with pytest.raises(HistoryLostError):
            await reading

        snapshot = await store.read_prefix("")
        assert snapshot.position == (stand_in.era, stand_in.revision)
        assert len(snapshot.values) == 2 * PAGE_ITEMS


async def test_conditional_write_names_a_revision_of_another_write():
    """Guards against an expected revision that holds by chance after a return.

    The key is not in the copy, and another key has its revision now.
    """
    async with PlatformStoreStandIn() as stand_in, aiohttp.ClientSession() as session:
        endpoint = await stand_in.open_endpoint()
        store = PlatformStore(session, endpoint.address, TIMEOUT_S)
        saved = stand_in.make_copy()
        lease = await store.grant_lease(LEASE_TTL_MS)
        revision = await store.put("nodes/a", b"1", 0, lease)
        await stand_in.restore(saved)
        assert await stand_in.put("other", {}) == revision
        lease = await store.grant_lease(LEASE_TTL_MS)

        with pytest.raises(StoreConflictError) as caught:
            await store.put("nodes/a", b"2", revision, lease)

        assert caught.value.current == 0
        assert await store.put("nodes/a", b"2", 0, lease) > revision
