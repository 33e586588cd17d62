"""Propagation of store changes to all instances when readers or the store fail."""

from __future__ import annotations

import asyncio
import json
import signal
import time

import pytest

from .conftest import build_rule, wait_until

# Required: within this time after the write, a configuration is in force on every
# instance, and a draining upstream gets no more requests.
MAX_PROPAGATION_S = 2.0
# Makes a configuration nearly as large as the store accepts.
LARGE_COMMENT_BYTES = 800_000


def has_version(nodes, version):
    return all(
        node.find_lines("configuration in force", version=version) for node in nodes
    )


@pytest.fixture
async def fleet(empty_site):
    """Four nodes in two failure domains, each with its own endpoint of the store."""
    await empty_site.configure()
    for number in range(3):
        await empty_site.add_upstream(f"u{number}")
    empty_site.endpoints = {}
    for number in range(4):
        endpoint = await empty_site.store.open_endpoint()
        domain = "ab"[number % 2]
        node = await empty_site.add_node(
            f"node-{number}", endpoint=endpoint, domain=domain
        )
        empty_site.endpoints[node.name] = endpoint
    for node in empty_site.nodes:
        await node.wait_ready()
    await wait_until(lambda: len(find_followers(empty_site)) == 2)
    # A node that loses the store can only subscribe to members that it knows already.
    for node in empty_site.nodes:
        await wait_until(lambda node=node: knows_all(node, empty_site.nodes))
    return empty_site


async def knows_all(node, nodes):
    state = await node.read_state()
    return len(state["knowledge"]["members"]) == len(nodes)


def find_followers(site):
    """Returns the nodes whose latest role is to subscribe to peers."""
    followers = []
    for node in site.nodes:
        roles = [
            line["message"]
            for line in node.lines
            if line["message"] in ("reading the store", "receiving records from peers")
        ]
        if roles and roles[-1] == "receiving records from peers":
            followers.append(node)
    return followers


def find_readers(site):
    followers = find_followers(site)
    return [node for node in site.nodes if node not in followers]


async def test_few_read_and_all_learn(fleet):
    await asyncio.sleep(1.0)
    # A reader that was replaced by a later registration reads for another second.
    await wait_until(lambda: len(find_followers(fleet)) == 2)
    for endpoint in fleet.endpoints.values():
        endpoint.calls.clear()

    await fleet.configure(version=2)
    started = time.monotonic()
    await wait_until(lambda: has_version(fleet.nodes, 2))

    assert time.monotonic() - started < MAX_PROPAGATION_S
    for node in find_followers(fleet):
        calls = fleet.endpoints[node.name].calls
        assert [call for call in calls if "keep" not in call] == []
        sources = (await node.read_state())["sources"]
        assert [source["is_standby"] for source in sources] == [False, True]
        readers = {reader.name for reader in find_readers(fleet)}
        assert {source["peer"] for source in sources} == readers


async def test_draining_upstream_gets_no_more_work(fleet):
    await fleet.store.put("servers/u0", fleet.upstreams[0].describe("draining"))
    await asyncio.sleep(MAX_PROPAGATION_S)
    before = len(fleet.upstreams[0].runs)

    for node in fleet.nodes:
        for number in range(10):
            assert (await node.call(request_id=f"{node.name}-{number}"))[0] == 200

    assert len(fleet.upstreams[0].runs) == before


@pytest.mark.parametrize("fault", ["silent", "busy", "many", "reset"])
async def test_one_reader_is_cut_off_from_the_store(fleet, fault):
    reader = find_readers(fleet)[0]
    fleet.endpoints[reader.name].fault = fault
    await fleet.configure(version=3)
    started = time.monotonic()

    others = [node for node in fleet.nodes if node is not reader]
    await wait_until(lambda: has_version(others, 3))
    assert time.monotonic() - started < MAX_PROPAGATION_S


async def test_all_readers_are_cut_off_from_the_store(fleet):
    # The other instances must still reach the store. When checks of the store time out
    # on a busy machine, all of them read it for a moment.
    await wait_until(lambda: len(find_followers(fleet)) == 2)
    readers = find_readers(fleet)
    for reader in readers:
        fleet.endpoints[reader.name].fault = "silent"
    await fleet.configure(version=3)
    started = time.monotonic()

    await wait_until(lambda: has_version(fleet.nodes, 3))
    assert time.monotonic() - started < MAX_PROPAGATION_S + 1.0
    followers = [node for node in fleet.nodes if node not in readers]
    assert has_version(followers, 3)


async def test_all_readers_are_killed(fleet):
    readers = find_readers(fleet)
    for reader in readers:
        reader.send_signal()
    await fleet.configure(version=3)
    started = time.monotonic()

    others = [node for node in fleet.nodes if node not in readers]
    await wait_until(lambda: has_version(others, 3))
    assert time.monotonic() - started < MAX_PROPAGATION_S


async def test_a_reader_hangs(fleet):
    reader = find_readers(fleet)[0]
    reader.send_signal(signal.SIGSTOP)
    await fleet.configure(version=3)
    started = time.monotonic()

    others = [node for node in fleet.nodes if node is not reader]
    await wait_until(lambda: has_version(others, 3))
    assert time.monotonic() - started < MAX_PROPAGATION_S
    reader.send_signal(signal.SIGCONT)
    await wait_until(lambda: has_version([reader], 3))


async def test_history_is_lost_while_a_server_leaves(site):
    node = site.nodes[0]
    site.endpoint.fault = "silent"
    await site.store.remove("servers/u1")
    await site.configure(version=4)
    await site.store.compact_history()
    await asyncio.sleep(0.2)
    site.endpoint.fault = ""

    await wait_until(lambda: node.find_lines("configuration in force", version=4))
    await wait_until(lambda: node.find_lines("upstream removed", upstream="u1"))
    assert not node.find_lines("upstream removed", upstream="u2")


async def test_entries_that_lapse_while_the_store_is_away_stay_in_use(site):
    node = site.nodes[0]
    site.endpoint.fault = "busy"
    await wait_until(lambda: node.find_lines("store lost"))
    for upstream in site.upstreams:
        await site.store.remove(f"servers/{upstream.id}")
    site.endpoint.fault = ""
    await wait_until(lambda: len(node.find_lines("store reached")) == 2)

    for number in range(5):
        assert (await node.call(request_id=f"r{number}"))[0] == 200
    await site.store.put("servers/u1", site.upstreams[0].describe())
    # An upstream that does not register again within the grace period is removed.
    await wait_until(lambda: node.find_lines("upstream removed", upstream="u2"))
    assert (await node.call(request_id="late"))[0] == 200
    assert not node.find_lines("upstream removed", upstream="u1")


async def test_large_configurations_in_quick_succession_are_in_force_in_time(site):
    """Guards against a fleet that acts on an old configuration for long.

    The changes since the last watch are larger than what the node reads at once.
    """
    node = site.nodes[0]
    rule = build_rule("/safe/") | {"comment": "x" * LARGE_COMMENT_BYTES}
    for version in range(2, 27):
        await site.configure(rule, version=version)
        await asyncio.sleep(0.06)
    changed_at = time.monotonic()
    await site.configure(rule, build_rule("/added/"), version=27)

    await wait_until(
        lambda: node.find_lines("configuration in force", version=27),
        timeout_s=MAX_PROPAGATION_S,
    )
    assert time.monotonic() - changed_at < MAX_PROPAGATION_S
    assert (await node.call("/added/x"))[0] == 200


async def test_unreadable_configuration_leaves_the_last_one_in_force(site):
    node = site.nodes[0]
    await site.store.put("op/config", b'{"version": 5, "listeners": [{}]}')

    await wait_until(
        lambda: node.find_lines(
            "configuration cannot be used, the last one stays in force"
        )
    )
    assert (await node.call())[0] == 200


async def test_entries_of_other_writers_name_no_upstream(site):
    node = site.nodes[0]
    for number, value in enumerate([b"\xff", b"{}", b"[]", json.dumps(7).encode()]):
        await site.store.put(f"servers/bad-{number}", value)

    await wait_until(lambda: len(node.find_lines("invalid upstream entry")) == 4)
    assert (await node.call())[0] == 200


async def test_upstream_that_starts_again_under_its_id_is_new(site):
    node = site.nodes[0]
    site.upstreams[0].default_behaviour = "misdirected"
    for number in range(8):
        await node.call(request_id=f"r{number}")
    site.upstreams[0].default_behaviour = "answer"
    await site.store.put("servers/u1", site.upstreams[0].describe(born=2))
    await wait_until(
        lambda: len(node.find_lines("upstream discovered", upstream="u1")) == 2
    )

    for number in range(20):
        await node.call(request_id=f"again-{number}")
    ids = [run.headers["x-request-id"] for run in site.upstreams[0].runs]
    assert any(name.startswith("again") for name in ids)


async def test_route_that_moves_to_another_service(site):
    node = site.nodes[0]
    await site.add_upstream("other", service="service-b")
    await site.configure(
        build_rule("/safe/", service="service-b"),
        version=2,
        services=("service-a", "service-b"),
    )
    await wait_until(lambda: node.find_lines("configuration in force", version=2))

    await node.call(request_id="moved")

    assert [run.headers["x-request-id"] for run in site.upstreams[-1].runs] == ["moved"]


async def test_upstream_that_left_is_not_used_after_a_restart(empty_site):
    """Guards against records of a peer that has lost the store.

    The restarted instance gets them before its own read of the store is answered.
    """
    await empty_site.configure()
    await empty_site.add_upstream("left")
    await empty_site.add_upstream("stays")
    endpoint = await empty_site.store.open_endpoint()
    peer = await empty_site.add_node("peer", endpoint=endpoint)
    await peer.wait_ready()
    endpoint.fault = "silent"
    await wait_until(lambda: peer.find_lines("store lost"))
    await empty_site.store.remove("servers/left")
    await empty_site.configure(build_rule("/other/"), version=2)
    empty_site.endpoint.delay_s = 0.5

    node = await empty_site.add_node("node", seeds=[peer.settings["peer_listen"]])
    await node.wait_ready()

    for number in range(6):
        status, _, _ = await node.call("/other/", request_id=f"r{number}")
        assert status == 200
    assert not empty_site.upstreams[0].runs
    assert not node.find_lines("configuration in force", version=1)


async def test_members_know_each_other(fleet):
    async def count():
        states = [await node.read_state() for node in fleet.nodes]
        return {len(state["knowledge"]["members"]) for state in states} == {4}

    await wait_until(count)


async def test_lost_answer_of_the_registration(empty_site):
    await empty_site.configure()
    await empty_site.add_upstream("u1")
    empty_site.endpoint.fault = "lose-answers"
    node = await empty_site.add_node()
    await asyncio.sleep(2.0)
    empty_site.endpoint.fault = ""

    await wait_until(lambda: node.find_lines("registered"))
