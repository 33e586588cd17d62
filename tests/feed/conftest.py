"""Event loops of the tests of the feed."""

import asyncio

from measure.virtual_loop import VirtualLoop

VIRTUAL_TIME_MODULES = {
    "tests.feed.test_restored_store",
    "tests.feed.test_silent_readers",
    "tests.feed.test_synchronizer",
}


def pytest_asyncio_loop_factories(config, item):
    if item.module.__name__ in VIRTUAL_TIME_MODULES:
        return {"virtual": VirtualLoop}
    return {"real": asyncio.SelectorEventLoop}
