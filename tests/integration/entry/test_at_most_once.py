"""Tests that non-idempotent requests run at most once and that "not run" is true."""

from __future__ import annotations

import asyncio
import json
import random
import time
import uuid

import aiohttp
import pytest

from .conftest import get_execution
from .raw_caller import wait_for

pytestmark = pytest.mark.xdist_group("once")

SEED = 20_261_204
HISTORY_SECONDS = 6.0
HISTORY_CALLERS = 24

# Fault of the proxies or upstreams, and the statuses that are correct. The proxy resets
# a refused connection before or after the entry writes to it, and forwards the
# upstream's close while it drops the response, so two statuses are correct there.
SINGLE_FAULTS = {
    "connection reset at once": ("proxy", {"refuse": True}, (502, 503)),
    "silence before the answer": ("proxy", {"cut": "to_client"}, (502, 504)),
    "silence before the request": ("proxy", {"cut": "to_target"}, (504,)),
    "broken after the work": ("upstream", {"break_after_work": 1.0}, (502,)),
    "error after the work": ("upstream", {"fail_fast": 1.0}, (500,)),
    "shed": ("upstream", {"shed_above": -1_000}, (503,)),
    "answer cut in the head": (
        "proxy",
        {"cut_after_bytes": 40, "cut_with": "close"},
        (502,),
    ),
    "answer reset in the head": (
        "proxy",
        {"cut_after_bytes": 40, "cut_with": "reset"},
        (502,),
    ),
}
MAY_HAVE_RUN = (502, 504)


def set_faults(path, place, faults):
    if place == "proxy":
        path.set_proxy_faults(**faults)
    else:
        path.set_behaviour(**faults)


@pytest.mark.parametrize("method", ["POST", "GET"])
@pytest.mark.parametrize("name", SINGLE_FAULTS)
def test_work_that_may_have_run_is_not_sent_again(path, name, method):
    """Guards against a retry after a failure that leaves it unknown whether it ran.

    The GET is not idempotent by its class, which the HTTP client does not know.
    """
    place, faults, statuses = SINGLE_FAULTS[name]
    work = uuid.uuid4().hex
    path.call("/work/warm")
    set_faults(path, place, faults)
    response = path.call(
        "/work/once", method, X_Work_Id=work, Request_Timeout_Ms=700, X_Work_Ms=1
    )
    assert response[0] in statuses
    if response[0] in MAY_HAVE_RUN:
        assert get_execution(response) == "unknown"
    assert len(path.find_runs(work)) <= 1
    if response[1].get("Execution-Status") == "not-run":
        assert not path.find_runs(work)


@pytest.mark.parametrize("method", ["POST", "GET"])
def test_open_connections_that_break_carry_no_unique_work(path, method):
    """Guards against non-idempotent requests on reused connections.

    After a reset of such a connection it is unknown whether the request ran. Idempotent
    requests first leave idle connections, which are then reset.
    """
    for _ in range(4):
        path.call("/work/warm", Request_Timeout_Ms=400)
    for upstream in path.upstreams:
        path.fleet.silence_open_connections(upstream)
    work = uuid.uuid4().hex
    response = path.call(
        "/work/once", method, X_Work_Id=work, Request_Timeout_Ms=2_000, X_Work_Ms=1
    )
    for upstream in path.upstreams:
        path.fleet.reset_open_connections(upstream)
    assert response[0] == 200
    assert len(path.find_runs(work)) == 1


def test_unreachable_upstream_is_passed_over_once_the_other_lives(path):
    """Guards the retry that is always safe: the first connection was never opened."""
    gone = path.fleet.add_upstream("gone", 0)
    path.fleet.add_upstream("gone", 1)
    path.fleet.write_policy("gone", 1)
    path.fleet.publish_instances()
    path.fleet.wait_ready()
    assert wait_for(lambda: path.call("/gone/x")[0] == 200, 10.0)
    path.fleet.kill(gone)
    statuses = [path.call("/gone/post", "POST")[0] for _ in range(8)]
    assert statuses == [200] * 8
    path.fleet.kill("gone-1")
    response = path.call("/gone/post", "POST")
    assert (response[0], get_execution(response)) == (503, "not_run")


def test_not_run_of_a_later_attempt_does_not_hide_an_earlier_one(path):
    """Guards against "not run" if the first attempt ran and the second was shed."""
    path.fill_budget(20)
    first, second = path.upstreams
    for broken, shedding in ((first, second), (second, first)):
        path.fleet.set_behaviour(broken, break_after_work=1.0, shed_above=None)
        path.fleet.set_behaviour(shedding, break_after_work=0.0, shed_above=-1_000)
        for _ in range(4):
            work = uuid.uuid4().hex
            response = path.call("/work/again", X_Work_Id=work)
            if path.find_runs(work):
                assert response[1].get("Execution-Status") != "not-run"
            else:
                assert response[1].get("Execution-Status") == "not-run"


class History:
    """Results of callers, for comparison with the upstreams' ledgers.

    Maps a work id to the status, the execution header and whether the response is
    either a complete response to this request or visibly broken.
    """

    def __init__(self) -> None:
        self.results: dict[str, tuple[int, str, bool]] = {}

    async def run_caller(self, number: int, urls: list[str], end: float) -> None:
        generator = random.Random(SEED + number)
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < end:
                await self.send(session, generator, generator.choice(urls))

    async def send(self, session, generator, url: str) -> None:
        work = uuid.uuid4().hex
        headers = {
            "X-Work-Id": work,
            "X-Work-Ms": str(generator.choice([1, 3, 40])),
            "Request-Timeout-Ms": str(generator.choice([60, 400])),
            "X-Answer-Bytes": str(generator.choice([200, 90_000])),
        }
        if generator.random() < 0.5:
            headers["X-Chunked"] = "1"
        method = generator.choice(["POST", "GET", "PATCH"])
        kind = "once" if method == "GET" else "post"
        try:
            async with session.request(
                method, f"{url}/work/{kind}", headers=headers
            ) as response:
                body = await response.read()
        except aiohttp.ClientError:
            self.results[work] = (0, "broken", True)
            return
        execution = response.headers.get("Execution-Status", "")
        size = int(headers["X-Answer-Bytes"])
        is_valid = response.status != 200 or (
            body.startswith(work.encode()) and len(body) == size
        )
        self.results[work] = (response.status, execution, is_valid)


async def inject_faults(path, end: float) -> None:
    """Injects random faults of upstreams and proxies."""
    generator = random.Random(SEED)
    choices = [
        ("proxy", {"cut_after_bytes": 60_000, "cut_with": "close"}),
        ("proxy", {"cut_after_bytes": 90, "cut_with": "reset"}),
        ("proxy", {"delay_ms": 70}),
        ("proxy", {"cut": "to_client"}),
        ("proxy", {"refuse": True}),
        ("upstream", {"break_after_work": 0.5}),
        ("upstream", {"fail_fast": 0.5}),
        ("upstream", {"shed_above": -1_000}),
        ("upstream", {"crossed": True}),
        ("upstream", {"cut_body": True}),
        ("upstream", {"cut_stream": True}),
    ]
    while time.monotonic() < end:
        place, faults = generator.choice(choices)
        upstream = generator.choice(path.upstreams)
        setter = path.fleet.set_behaviour
        if place == "proxy":
            setter = path.fleet.set_proxy_faults
        await asyncio.to_thread(setter, upstream, **faults)
        await asyncio.sleep(0.12)
        if generator.random() < 0.3:
            await asyncio.to_thread(path.fleet.reset_open_connections, upstream)
        await asyncio.to_thread(path.reset)


async def test_histories_agree_with_ledgers_under_mixed_faults(path):
    """Guards at-most-once execution, true "not run" and complete, uncrossed responses.

    Mixes all faults in an order drawn from a fixed seed.
    """
    history = History()
    end = time.monotonic() + HISTORY_SECONDS
    urls = [path.fleet.get_entry_url(name) for name in ("entry-1", "entry-2")]
    await asyncio.gather(
        inject_faults(path, end),
        *(history.run_caller(n, urls, end) for n in range(HISTORY_CALLERS)),
    )
    await asyncio.sleep(0.5)
    runs: dict[str, int] = {}
    for upstream in path.upstreams:
        for entry in path.fleet.read_ledger(upstream)["ran"]:
            runs[entry["work"]] = runs.get(entry["work"], 0) + 1
    run_twice = [work for work in history.results if runs.get(work, 0) > 1]
    false_refusals = [
        work
        for work, (_, execution, _) in history.results.items()
        if execution == "not-run" and runs.get(work)
    ]
    invalid = [
        work for work, (_, _, is_valid) in history.results.items() if not is_valid
    ]
    statuses = [status for status, _, _ in history.results.values()]
    assert (run_twice, false_refusals, invalid) == ([], [], [])
    assert statuses.count(200) > 100
    assert len(set(statuses)) > 3, json.dumps(sorted(set(statuses)))
