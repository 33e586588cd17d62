"""Entries of servers that another writer spoilt, and odd load reports."""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from .conftest import build_rule, wait_until
from .test_notices import call_until

# Deeper than the recursion limit of the interpreter.
NESTING = 100_000
# More than the slots of both upstreams, so that requests wait.
CALLS = 18
SERVICE_TIME_S = 0.1
# Time in which requests show whether an entry is used. Nodes read changes in quick
# succession 0.5 s after the last ones.
OBSERVATION_S = 0.8


def build_entry(address="127.0.0.1:9", service="service-a", **changes):
    """Returns an entry of a server; ``status`` and ``info`` replace single fields."""
    return {
        "address": address,
        "info": {
            "service": service,
            "version": "v1",
            "zone": "a",
            "max_concurrency": 6,
        }
        | changes.get("info", {}),
        "status": {"state": "ready", "sequence": 1, "warmup_left": "0ms"}
        | changes.get("status", {}),
        "born": changes.get("born", 1),
    }


def encode_nested(entry) -> bytes:
    text = json.dumps(entry | {"extra": 0})
    return text.replace(
        '"extra": 0', f'"extra": {"[" * NESTING}{"]" * NESTING}'
    ).encode()


ODD_ENTRIES = {
    "nested list": b"[" * NESTING + b"]" * NESTING,
    "nested object": b'{"a":' * NESTING + b"1" + b"}" * NESTING,
    "nested field": encode_nested(build_entry()),
    "huge slots": build_entry(info={"max_concurrency": 10**400}),
    "large slots": build_entry(info={"max_concurrency": 10**15}),
    "huge start": build_entry(born=10**400),
    "huge cold start": build_entry(status={"warmup_left": "9" * 400 + "s"}),
    "long cold start": build_entry(status={"warmup_left": "9" * 100 + "s"}),
    "too many digits": json.dumps(build_entry(born=0))
    .replace('"born": 0', f'"born": {"9" * 5000}')
    .encode(),
    "infinite slots": json.dumps(build_entry())
    .replace('"max_concurrency": 6', '"max_concurrency": 1e999')
    .encode(),
    "port 0": build_entry("127.0.0.1:0"),
    "port 65536": build_entry("127.0.0.1:65536"),
    "port of many digits": build_entry("127.0.0.1:" + "9" * 5000),
    "port of other digits": build_entry("127.0.0.1:８０８０"),
    "no host": build_entry(":80"),
    "a path in the host": build_entry("127.0.0.1/x:80"),
    "a name": build_entry("upstream.example:80"),
    "half an address": build_entry("[::1:80"),
    "surrogate in the service": build_entry(service="\ud800"),
    "surrogate in the zone": build_entry(info={"zone": "\ud800"}),
    "surrogate in the address": build_entry("\ud800:80"),
}


@pytest.mark.parametrize("name", ODD_ENTRIES)
@pytest.mark.parametrize("is_known_at_start", [False, True])
async def test_requests_are_served_beside_an_odd_entry(
    empty_site, name, is_known_at_start
):
    """Guards against an entry that stops an instance from following the others."""
    entry = ODD_ENTRIES[name]
    rule = build_rule("/safe/") | {"target_latency": "2s"}
    await empty_site.configure(rule)
    await empty_site.add_upstream("u1", service_time_s=SERVICE_TIME_S)
    if is_known_at_start:
        await empty_site.store.put("servers/odd", entry)
    node = await empty_site.add_node()
    await node.wait_ready()
    await empty_site.store.put("servers/odd", entry)
    # Known after the odd entry, so the node must still follow the store.
    await empty_site.add_upstream("u2", service_time_s=SERVICE_TIME_S)
    await empty_site.configure(rule, version=2)
    await wait_until(
        lambda: node.find_lines("upstream discovered", upstream="u2"), timeout_s=3.0
    )
    await wait_until(
        lambda: node.find_lines("configuration in force", version=2), timeout_s=3.0
    )

    calls = [node.call(request_id=f"r{number}") for number in range(CALLS)]
    results = await asyncio.gather(*calls)

    assert {status for status, _, _ in results} == {200}
    assert node.find_lines("invalid upstream entry", upstream="odd")
    assert not node.find_lines("upstream discovered", upstream="odd")
    assert (await node.read_state())["is_fresh"]
    assert node._process.returncode is None


@pytest.mark.parametrize(
    "load", ["3,0," + "9" * 400, "3,0," + "9" * 5000, "9" * 400 + ",0,6", "0,0,0"]
)
async def test_requests_are_served_beside_an_odd_load_report(empty_site, load):
    """Guards against a report that makes the requests of other upstreams fail."""
    rule = build_rule("/safe/") | {"target_latency": "2s"}
    await empty_site.configure(rule)
    for name in ("u1", "u2", "u3"):
        await empty_site.add_upstream(name, service_time_s=SERVICE_TIME_S)
    empty_site.upstreams[0].load = load
    node = await empty_site.add_node()
    await node.wait_ready()
    await wait_until(lambda: node.find_lines("upstream discovered", upstream="u3"))

    calls = [node.call(request_id=f"r{number}") for number in range(CALLS)]
    results = await asyncio.gather(*calls)

    assert {status for status, _, _ in results} == {200}


VERSION, SEQUENCE = ("info", "version"), ("status", "sequence")
WARMUP, BORN = ("status", "warmup_left"), ("born",)
# Fields that the entries of other writers lack.
INCOMPLETE_ENTRIES = (
    (VERSION, SEQUENCE, WARMUP, BORN),
    (VERSION,),
    (SEQUENCE,),
    (WARMUP,),
    (BORN,),
)


def leave_out(entry, *paths):
    """Returns a copy of an entry without some of its fields."""
    entry = json.loads(json.dumps(entry))
    for *parents, name in paths:
        target = entry
        for parent in parents:
            target = target[parent]
        del target[name]
    return entry


async def play_incomplete_entries(site, node, upstream) -> None:
    """Writes entries of other writers, which state that an upstream is ready."""
    for paths in INCOMPLETE_ENTRIES:
        entry = leave_out(upstream.describe("ready"), *paths)
        await site.store.put(f"servers/{upstream.id}", entry)
        await call_until(node, build_end(OBSERVATION_S))


def build_end(seconds):
    end = time.monotonic() + seconds
    return lambda: time.monotonic() > end


async def test_draining_upstream_gets_no_request_for_an_incomplete_entry(site):
    """Guards against entries of other writers that end the draining of an upstream."""
    node = site.nodes[0]
    draining, other = site.upstreams
    await site.store.put(f"servers/{draining.id}", draining.describe("draining"))
    await wait_until(lambda: node.find_lines("upstream draining", upstream=draining.id))
    await call_until(node, build_end(OBSERVATION_S))
    count = len(draining.runs)

    await play_incomplete_entries(site, node, draining)
    # The upstream goes on to report that it is draining.
    await site.store.put(f"servers/{draining.id}", draining.describe("draining"))
    statuses = await call_until(node, build_end(OBSERVATION_S))

    assert len(draining.runs) == count
    assert set(statuses) == {200}
    assert other.runs
    lines = node.find_lines("invalid upstream entry", upstream=draining.id)
    assert len(lines) == len(INCOMPLETE_ENTRIES)


async def test_upstream_that_states_that_it_leaves_is_not_restarted_by_an_entry(site):
    """Guards against entries without a start time that are taken for a restart."""
    node = site.nodes[0]
    leaving = site.upstreams[0]
    leaving.is_leaving = True
    while not node.find_lines("upstream states that it leaves"):
        await node.call(request_id=f"c{time.monotonic_ns()}")
    # Responses of the upstream state nothing from now on, its entry remains ready.
    leaving.is_leaving = False
    await call_until(node, build_end(OBSERVATION_S))
    count = len(leaving.runs)

    await play_incomplete_entries(site, node, leaving)
    await site.store.put(f"servers/{leaving.id}", leaving.describe("ready"))
    statuses = await call_until(node, build_end(OBSERVATION_S))

    assert len(leaving.runs) == count
    assert set(statuses) == {200}
    lines = node.find_lines("invalid upstream entry", upstream=leaving.id)
    assert len(lines) == len(INCOMPLETE_ENTRIES)
