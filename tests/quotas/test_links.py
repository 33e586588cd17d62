"""Quotas of instances with real connections on loopback."""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack, suppress
from types import SimpleNamespace

import pytest
from websockets.asyncio.client import connect

from standins.fleet import find_free_ports
from verbenacross.customers.customer import Customer
from verbenacross.customers.customer_table import CustomerTable
from verbenacross.documents.address import Address
from verbenacross.feed.codec import decode_message, encode_message
from verbenacross.feed.members import Member, rank
from verbenacross.feed.messages import Subscribe, Update
from verbenacross.feed.publisher import Publisher
from verbenacross.feed.record_log import RecordLog
from verbenacross.infrastructure.key_value_store import StorePosition
from verbenacross.quotas.customer_quotas import CustomerQuotas
from verbenacross.quotas.quota_link import QUOTAS_PATH

LIMITED = Customer("a", rate_per_s=40.0, burst=5.0)


def build_table(*customers):
    keys = {f"key-{index}": customer for index, customer in enumerate(customers)}
    return SimpleNamespace(customers=CustomerTable(keys))


class Instance:
    """An instance that listens on its peer address."""

    def __init__(self, member, members):
        self.member = member
        self.quotas = CustomerQuotas(member, lambda: members, lambda: len(members))
        self.log = RecordLog()
        self.publisher = Publisher(self.log, lambda: True)
        self.publisher.handlers[QUOTAS_PATH] = self.quotas.handle_connection
        self.stack = AsyncExitStack()

    async def start(self):
        address = Address.from_text(self.member.address)
        await self.publisher.listen(self.stack, address)
        task = asyncio.create_task(self.quotas.run())
        self.stack.callback(task.cancel)

    @property
    def role(self):
        return self.quotas.describe()["role"]


@pytest.fixture
async def instances():
    """Three instances in two domains, by rank."""
    ports = find_free_ports(3)
    members = [
        Member(f"n{index}", f"127.0.0.1:{port}", zone)
        for index, (port, zone) in enumerate(zip(ports, "xxy", strict=True))
    ]
    started = [Instance(member, members) for member in sorted(members, key=rank)]
    async with AsyncExitStack() as stack:
        for instance in started:
            await instance.start()
            stack.push_async_callback(instance.stack.aclose)
        yield started


async def wait_for(check, timeout_s=6.0):
    deadline = time.monotonic() + timeout_s
    while not check():
        assert time.monotonic() < deadline, "the check did not hold in time"
        await asyncio.sleep(0.02)


async def send(quotas, per_s, duration_s):
    """Sends requests; returns the number that was admitted and the number sent."""
    loop = asyncio.get_running_loop()
    start, sent, admitted = loop.time(), 0, 0
    while (elapsed := loop.time() - start) < duration_s:
        while sent < elapsed * per_s:
            sent += 1
            admitted += quotas.admit(LIMITED, loop.time()) is None
        await asyncio.sleep(0.01)
    return admitted, sent


async def test_does_nothing_without_a_limit(instances):
    # Deployments without limits must see no connection and no refusal.
    for instance in instances:
        instance.quotas.apply_table(build_table(Customer("a")))
    await asyncio.sleep(0.4)
    assert {instance.role for instance in instances} == {"disabled"}
    admitted, sent = await send(instances[0].quotas, 500, 0.2)
    assert admitted == sent
    gauges = instances[0].quotas.get_gauges()
    assert gauges["quota_messages_sent"] == gauges["quota_children"] == 0


async def test_limits_over_all_instances_and_replaces_a_lost_root(instances):
    # A lost root must neither stop the limit nor the requests within it.
    for instance in instances:
        instance.quotas.apply_table(build_table(LIMITED))
    others = instances[1:]
    await wait_for(lambda: instances[0].role == "root")
    await wait_for(
        lambda: all(
            i.quotas.describe()["coordinator_age_s"] is not None for i in others
        )
    )
    await send(others[0].quotas, 30, 1.0)
    results = await asyncio.gather(*(send(i.quotas, 150, 4.0) for i in others))
    assert 0.9 * 4 * 40 < sum(admitted for admitted, _ in results) < 4 * 40 * 1.1 + 45
    state = instances[0].quotas.describe()
    assert state["limited"]["a"]["total"]["demand_per_s"] > 200
    assert all("a" in i.quotas.describe()["limited"] for i in instances)
    await instances[0].stack.aclose()
    results = await asyncio.gather(*(send(i.quotas, 150, 5.0) for i in others))
    assert 0.5 * 5 * 40 < sum(admitted for admitted, _ in results) < 5 * 40 * 1.1 + 25
    await wait_for(lambda: [i.role for i in others].count("root") == 1)


async def test_ends_when_the_limits_are_removed(instances):
    # A removed limit must not leave links or refusals.
    for instance in instances:
        instance.quotas.apply_table(build_table(LIMITED))
    await wait_for(lambda: instances[0].role == "root")
    for instance in instances:
        instance.quotas.apply_table(build_table())
    admitted, sent = await send(instances[1].quotas, 300, 0.5)
    assert admitted == sent
    assert {instance.role for instance in instances} == {"disabled"}


async def test_subscriptions_are_served_beside_quotas(instances):
    # The protocol of the records must not change.
    address = instances[0].member.address
    instances[0].log.merge((), StorePosition(0, 1), "test", is_complete=True)
    async with connect(f"ws://{address}", compression=None) as connection:
        await connection.send(encode_message(Subscribe("x", 0, 0)))
        assert isinstance(decode_message(await connection.recv()), Update)
        assert instances[0].publisher.subscriber_count == 1
    with suppress(Exception):
        async with connect(f"ws://{address}{QUOTAS_PATH}") as connection:
            await connection.send(b"\xff")
            await connection.recv()
    await wait_for(lambda: instances[0].publisher.subscriber_count == 0)
