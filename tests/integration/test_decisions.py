"""Tests of routing and limits with real processes, against the design targets."""

import time

import aiohttp
import pytest

from measure.cell_result import get_percentiles
from measure.load_generator import LoadGenerator
from standins.fleet import Fleet, call

SERVICE = "layers"
ROUND_ROBIN = {
    "routing": {"chooser": "round_robin", "outlier_detection": False},
    "limits": {"adaptive_concurrency": False},
}
PEAK_WORK_MS = 400
SLOTS = 4


@pytest.fixture
def fleet():
    with Fleet() as fleet:
        yield fleet


def start(fleet, upstreams, entries=2, **policy):
    """Starts a service; version 1 has the defaults, version 2 is plain round robin."""
    servers = [
        fleet.add_upstream(SERVICE, index, slots=SLOTS) for index in range(upstreams)
    ]
    names = [f"entry-{index}" for index in range(entries)]
    for name in names:
        fleet.add_instance(name)
    fleet.publish_instances()
    fleet.write_policy(SERVICE, 1, upstreams={"slots": SLOTS}, **policy)
    fleet.write_policy(SERVICE, 2, upstreams={"slots": SLOTS}, **ROUND_ROBIN)
    fleet.wait_ready()
    for name in names:
        url = f"{fleet.get_entry_url(name)}/{SERVICE}/short"
        for version in ("1", "2"):
            headers = {"Verbenacross-Policy-Version": version}
            fleet.wait_until(lambda url=url, h=headers: call(url, headers=h)[0] == 200)
    return servers, [fleet.get_entry_url(name) for name in names]


async def send(urls, version, phases, work_ms, timeout_ms=5_000):
    """Sends requests in phases of a rate and a duration; returns the results."""
    arrivals, due_s = [], 0.0
    for rate, duration_s in phases:
        for _ in range(int(rate * duration_s)):
            arrivals.append([due_s, SERVICE, "short", work_ms, len(arrivals)])
            due_s += 1 / rate
    job = {
        "cell": f"v{version}",
        "start": time.time() + 0.2,
        "timeout_ms": timeout_ms,
        "urls": urls,
        "headers": {"Verbenacross-Policy-Version": version},
        "arrivals": list(enumerate(arrivals)),
    }
    async with aiohttp.ClientSession() as session:
        generator = LoadGenerator(job, session)
        await generator.run()
    for result in generator.results:
        result["due_s"] = result["due"] - job["start"]
    return generator.results


def get_p99_ms(results):
    return get_percentiles([item["done"] - item["due"] for item in results])["p99"]


async def test_one_server_slowed_ten_times(fleet):
    """Guards the target: p99 at most half of round robin's.

    Round robin receives so little load that the slowed server does not build a backlog,
    with which any chooser would pass.
    """
    servers, urls = start(fleet, 4)
    fleet.set_behaviour(servers[0], slowdown=10)
    baseline = await send(urls, "2", [(20, 4)], 50)
    await send(urls, "1", [(60, 2)], 50)
    results = await send(urls, "1", [(150, 4)], 50)
    assert all(item["status"] == 200 for item in results)
    assert get_p99_ms(results) <= get_p99_ms(baseline) / 2


async def test_one_server_failing_fast(fleet):
    """Guards against preferring an upstream that looks idle because it fails fast.

    At most half of round robin's share of requests may fail.
    """
    servers, urls = start(fleet, 4)
    fleet.set_behaviour(servers[0], fail_fast=1.0)
    baseline = await send(urls, "2", [(60, 2)], 50)
    results = await send(urls, "1", [(60, 4)], 50)
    share = sum(item["status"] == 500 for item in results) / len(results)
    baseline_share = sum(item["status"] == 500 for item in baseline) / len(baseline)
    assert share <= baseline_share / 2


async def test_crest_and_recovery(fleet):
    """Guards goodput at three times the capacity, true refusals, and the recovery.

    No backlog may outlast the peak by more than the deadline.
    """
    servers, urls = start(fleet, 2, limits={"queue_size": 64})
    capacity = len(servers) * SLOTS * 1_000 / PEAK_WORK_MS
    phases = [(capacity / 4, 1), (capacity * 3, 6), (capacity / 4, 4)]
    results = await send(urls, "1", phases, PEAK_WORK_MS, timeout_ms=2_000)
    succeeded = [item for item in results if item["status"] == 200]
    start_s = results[0]["due"] - results[0]["due_s"]
    at_peak = [item for item in succeeded if 2 <= item["done"] - start_s < 7]
    assert len(at_peak) >= 0.95 * capacity * 5
    ran = {
        entry["work"]
        for server in servers
        for entry in fleet.read_ledger(server)["ran"]
    }
    refused = [item for item in results if item["status"] == 503]
    assert refused
    assert all(item["execution"] == "not-run" for item in refused)
    assert not ran & {item["work"] for item in refused}
    assert len(succeeded) + len(refused) == len(results)
    after = [item for item in results if item["due_s"] > 7 + 2]
    assert all(item["status"] == 200 for item in after)
    assert get_p99_ms(after) <= 1.5 * PEAK_WORK_MS
