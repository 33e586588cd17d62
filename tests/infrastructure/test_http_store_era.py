"""The era in the responses of the agent's key-value store."""

import aiohttp
import pytest
from aiohttp import web

from verbenacross.infrastructure.exceptions import StoreUnavailableError
from verbenacross.infrastructure.http_key_value_store import HttpKeyValueStore
from verbenacross.infrastructure.key_value_store import StorePosition
from verbenacross.infrastructure.store_era import ERA_HEADER, EraTracker


async def test_response_of_an_earlier_era_is_an_error():
    """Guards against a late response that is taken for the store's current records."""
    eras = [None, "3", "2", "3"]

    async def answer(request: web.BaseRequest) -> web.Response:
        era = eras.pop(0)
        headers = {} if era is None else {ERA_HEADER: era}
        return web.json_response({"revision": 7, "entries": []}, headers=headers)

    runner = web.ServerRunner(web.Server(answer, access_log=None))
    await runner.setup()
    try:
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        url = f"http://127.0.0.1:{runner.addresses[0][1]}"
        async with aiohttp.ClientSession() as session:
            store = HttpKeyValueStore(session, url)
            assert (await store.read_prefix("p")).position == StorePosition(0, 7)
            assert (await store.read_prefix("p")).position == StorePosition(3, 7)
            with pytest.raises(StoreUnavailableError, match="era 2 after era 3"):
                await store.read_prefix("p")
            assert (await store.watch("p", 7, 0)).position == StorePosition(3, 7)
            assert store.era == 3
    finally:
        await runner.cleanup()


@pytest.mark.parametrize("text", ["", "-1", "1.5", "x", "9" * 19, "²"])
def test_unreadable_era_is_the_last_one_known(text):
    """Guards against a header that stops the reader or resets the order."""
    eras = EraTracker()
    eras.record("4")
    assert eras.record(text) == 4
