"""What upstreams state about themselves in their answers, with real processes."""

from __future__ import annotations

import asyncio
import time

import pytest

from .conftest import wait_until

BUSY_S = 1.5
# Requests that were chosen or under way when the notice came arrive within this time.
SETTLING_S = 0.5


async def call_until(node, is_over) -> list[int]:
    """Calls in quick succession; returns the statuses."""
    statuses = []
    while not is_over():
        name = f"c{time.monotonic_ns()}"
        statuses.append((await node.call(request_id=name))[0])
        await asyncio.sleep(0.01)
    return statuses


@pytest.mark.parametrize("behaviour", ["answer", "fail", "shed"])
async def test_upstream_that_says_it_leaves_gets_no_more_requests(site, behaviour):
    """Its entry in the store stays as it was, and may do so for long."""
    node = site.nodes[0]
    leaving, other = site.upstreams
    leaving.is_leaving = True
    leaving.default_behaviour = behaviour
    for number in range(20):
        await node.call(request_id=f"before-{number}")
    await wait_until(lambda: node.find_lines("upstream states that it leaves"))
    count, probes = len(leaving.runs) + len(leaving.refused), leaving.probes

    end = time.monotonic() + 1.0
    statuses = await call_until(node, lambda: time.monotonic() > end)

    assert set(statuses) == {200}
    assert len(leaving.runs) + len(leaving.refused) == count
    assert leaving.probes == probes
    assert other.runs
    state = await node.read_state()
    assert state["services"]["service-a"]["upstreams"]["u1"]["leaving"] is True


async def test_request_at_work_ends_though_the_upstream_leaves(site):
    node = site.nodes[0]
    for upstream in site.upstreams:
        upstream.service_time_s = 0.5
    calls = [asyncio.create_task(node.call(request_id=f"r{n}")) for n in range(6)]
    await wait_until(lambda: all(site.find_runs(f"r{n}") for n in range(6)))
    for upstream in site.upstreams:
        upstream.is_leaving = True

    assert {response[0] for response in await asyncio.gather(*calls)} == {200}


async def test_requests_are_refused_at_once_if_all_upstreams_leave(site):
    node = site.nodes[0]
    for upstream in site.upstreams:
        upstream.is_leaving = True
    lines = "upstream states that it leaves"
    while len(node.find_lines(lines)) < 2:
        await node.call(request_id=f"c{time.monotonic_ns()}")

    started = time.monotonic()
    status, headers, _ = await node.call(request_id="late")

    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert time.monotonic() - started < 0.2
    assert not site.find_runs("late")


async def test_new_life_of_an_upstream_is_free_of_the_notice(site):
    node = site.nodes[0]
    leaving = site.upstreams[0]
    leaving.is_leaving = True
    while not node.find_lines("upstream states that it leaves"):
        await node.call(request_id=f"c{time.monotonic_ns()}")
    leaving.is_leaving = False
    await site.store.put("servers/u1", leaving.describe(born=2))
    await wait_until(
        lambda: len(node.find_lines("upstream discovered", upstream="u1")) == 2
    )
    count = len(leaving.runs)

    end = time.monotonic() + 3.0
    await call_until(node, lambda: len(leaving.runs) > count or time.monotonic() > end)

    assert len(leaving.runs) > count


async def test_busy_upstream_gets_nothing_until_the_stated_time(site):
    """Neither requests nor probes, although it reports itself as idle."""
    node = site.nodes[0]
    busy = site.upstreams[0]
    busy.default_behaviour = "shed"
    busy.retry_after = str(BUSY_S)
    while not busy.refused:
        await node.call(request_id=f"c{time.monotonic_ns()}")
    stated_at = busy.refused[0].started_at
    busy.default_behaviour = "answer"
    settled = stated_at + SETTLING_S
    await call_until(node, lambda: time.monotonic() > settled)
    asked = len(busy.runs) + len(busy.refused) + busy.probes

    end = stated_at + BUSY_S - 0.05
    statuses = await call_until(node, lambda: time.monotonic() > end)
    assert set(statuses) == {200}
    assert len(busy.runs) + len(busy.refused) + busy.probes == asked

    runs = len(busy.runs)
    end = time.monotonic() + 3.0
    await call_until(node, lambda: len(busy.runs) > runs or time.monotonic() > end)
    assert len(busy.runs) > runs


@pytest.mark.parametrize(
    "value", ["soon", "-3", "0", "nan", "1e9", "1;2", "Mon, 01 Jan 2001 00:00:00 GMT"]
)
async def test_malformed_time_makes_nobody_wait(site, value):
    node = site.nodes[0]
    odd = site.upstreams[0]
    odd.default_behaviour = "shed"
    odd.retry_after = value
    while not odd.refused:
        await node.call(request_id=f"c{time.monotonic_ns()}")
    odd.default_behaviour = "answer"
    # One upstream alone does not have enough slots for all callers.
    for upstream in site.upstreams:
        upstream.service_time_s = 0.1
    end = time.monotonic() + 3.0
    callers = [
        call_until(node, lambda: odd.runs or time.monotonic() > end) for _ in range(8)
    ]
    statuses = await asyncio.gather(*callers)

    assert odd.runs
    assert {status for part in statuses for status in part} == {200}
    assert not node.find_lines("upstream states that it is busy")


async def test_notice_of_a_foreign_answer_is_ignored(site):
    """The answer carries the id of another request, perhaps of another upstream."""
    node = site.nodes[0]
    for upstream in site.upstreams:
        upstream.is_leaving = True
        upstream.says_so_to_probes = False
        upstream.default_behaviour = "foreign"

    for number in range(4):
        await node.call(request_id=f"r{number}")

    assert not node.find_lines("upstream states that it leaves")
