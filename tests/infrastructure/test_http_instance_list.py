import aiohttp
from aiohttp.test_utils import TestServer

from standins.platform import PlatformStandIn
from verbenacross.infrastructure.http_instance_list import HttpInstanceList

LISTED = {"id": "x", "service": "web", "address": "127.0.0.1:80", "failure_domain": "a"}


async def test_unchanged_list_is_the_same_object_and_a_change_is_seen():
    """Guards against parsing an unchanged list on each poll and against stale data."""
    platform = PlatformStandIn()
    server = TestServer(platform.build_application())
    async with server, aiohttp.ClientSession() as session:
        instances = HttpInstanceList(session, str(server.make_url("")))
        platform.publish_instances([LISTED])
        first = await instances.read()
        assert await instances.read() is first
        platform.publish_instances([{**LISTED, "state": "leaving"}])
        assert (await instances.read())[0].state == "leaving"
        platform.publish_instances([])
        assert await instances.read() == ()


async def test_invalid_entry_does_not_hide_the_others():
    """Guards against agents that stop following the list because of one entry."""
    spoilt = [
        {**LISTED, "id": "port", "address": "127.0.0.1:65536"},
        {**LISTED, "id": "state", "state": "resting"},
        {"id": "fields"},
        "text",
        None,
    ]
    platform = PlatformStandIn()
    server = TestServer(platform.build_application())
    async with server, aiohttp.ClientSession() as session:
        instances = HttpInstanceList(session, str(server.make_url("")))
        platform.publish_instances([*spoilt, LISTED])
        first = await instances.read()
        assert [instance.id for instance in first] == ["x"]
        assert await instances.read() is first
        platform.publish_instances([*spoilt, {**LISTED, "state": "leaving"}])
        assert [instance.state for instance in await instances.read()] == ["leaving"]
