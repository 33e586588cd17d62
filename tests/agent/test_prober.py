import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
from aiohttp import web
from aioprometheus import Registry

from verbenacross.agent.prober import Prober
from verbenacross.agent.service_policies import ServicePolicies
from verbenacross.infrastructure.instance_list import Instance
from verbenacross.policy import PolicyRecord, PolicyTable
from verbenacross.settings import Address
from verbenacross.upstreams import (
    ObservationReporter,
    ObservationTable,
    UpstreamDirectory,
)

RATE = 8


class FakeUpstream:
    def __init__(self) -> None:
        self.probe_times: list[float] = []
        self.delay_s = 0.0

    async def handle(self, request: web.BaseRequest) -> web.Response:
        self.probe_times.append(time.monotonic())
        await asyncio.sleep(self.delay_s)
        if request.path == "/health":
            return web.json_response({"state": "draining"})
        return web.json_response({"in_flight": 4})


class FakeOwnership:
    """Holds every shard since ``held_since``; ``None`` means that it holds none."""

    def __init__(self) -> None:
        self.held_since: float | None = time.monotonic()
        self.is_lease_valid = True

    def find_shard(self, service: str) -> int:
        return 0

    def holds(self, shard: int) -> bool:
        return self.is_lease_valid

    def get_held(self) -> dict[int, float]:
        return {} if self.held_since is None else {0: self.held_since}


@asynccontextmanager
async def run_prober(
    ownership: Any, upstream: FakeUpstream
) -> AsyncIterator[tuple[Prober, ObservationTable]]:
    runner = web.ServerRunner(web.Server(upstream.handle))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    table = PolicyTable()
    body = (
        b'{"schema_version": 1, "service": "web", "version": 1, '
        b'"measuring": {"probes_per_second": %d}}' % RATE
    )
    table.put(PolicyRecord("policies/web/1", 1, body))
    directory = UpstreamDirectory()
    directory.replace([Instance("u0", "web", Address("127.0.0.1", port), "a")])
    observations = ObservationTable()
    prober = Prober(
        ownership,
        directory,
        ServicePolicies(table),
        ObservationReporter(observations, "a"),
        Registry(),
    )
    task = asyncio.create_task(prober.run())
    try:
        yield prober, observations
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await runner.cleanup()


def find_peak_per_second(times: list[float]) -> int:
    return max(sum(start <= t < start + 1 for t in times) for start in times)


class OddUpstream(FakeUpstream):
    """Its responses to probes are odd, or go on until the caller closes them."""

    def __init__(self, body: bytes, is_endless: bool = False) -> None:
        super().__init__()
        self.body = body
        self.is_endless = is_endless
        self.most_sent = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.probe_times.append(time.monotonic())
        response = web.StreamResponse()
        await response.prepare(request)
        sent = 0
        try:
            while self.is_endless or not sent:
                await response.write(self.body)
                sent += len(self.body)
                self.most_sent = max(self.most_sent, sent)
        finally:
            self.most_sent = max(self.most_sent, sent)
        await response.write_eof()
        return response


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 10_000,
        b'{"in_flight": 1' + b"0" * 400 + b"}",
        b'{"in_flight": 1' + b"0" * 5_000 + b"}",
        b"\xff",
    ],
)
async def test_odd_responses_to_probes_do_not_end_the_prober(body):
    """Guards against an agent that ends because of one upstream."""
    upstream = OddUpstream(body)
    async with run_prober(FakeOwnership(), upstream):
        await asyncio.sleep(2.0)
        count = len(upstream.probe_times)
        await asyncio.sleep(0.5)
        assert len(upstream.probe_times) > count > 0


async def test_responses_to_probes_without_end_are_not_read_on():
    """Guards against an agent that keeps all bytes and runs out of memory."""
    upstream = OddUpstream(b"x" * 65_536, is_endless=True)
    async with run_prober(FakeOwnership(), upstream):
        await asyncio.sleep(2.5)
    # What the sockets hold, as nobody reads it.
    assert 0 < upstream.most_sent < 32_000_000


async def test_probes_use_the_budget_but_no_more_and_are_observed():
    """The probe rate must use the budget and never exceed it within any second.

    Right after an acquisition the last probe of the previous holder is unknown.
    """
    ownership = FakeOwnership()
    upstream = FakeUpstream()
    async with run_prober(ownership, upstream) as (prober, observations):
        await asyncio.sleep(2.5)
        ended_at = time.monotonic()
        ownership.held_since = None
        await asyncio.sleep(0.5)
        ownership.held_since = started_at = time.monotonic()
        await asyncio.sleep(2.2)
        # The last probe may be in transit when the count is read, so none may follow.
        ownership.held_since = None
        await asyncio.sleep(0.5)
        assert len(upstream.probe_times) == prober.dump_state()["sent"]
    assert RATE - 2 <= find_peak_per_second(upstream.probe_times) <= RATE
    assert not any(ended_at + 0.4 < t < started_at + 1 for t in upstream.probe_times)
    assert not observations.accepts_requests("u0")
    assert observations.get_load("u0") == 4


async def test_probe_in_flight_at_the_end_of_the_ownership_counts_as_sent():
    """Guards operators' counts against probes that are cancelled while in flight."""
    ownership = FakeOwnership()
    upstream = FakeUpstream()
    upstream.delay_s = 1.0
    async with run_prober(ownership, upstream) as (prober, _):
        async with asyncio.timeout(5.0):
            while not upstream.probe_times:
                await asyncio.sleep(0.01)
        ownership.held_since = None
        await asyncio.sleep(0.5)
        assert prober.dump_state()["sent"] == len(upstream.probe_times) == 1


async def test_no_probe_is_sent_once_the_lease_has_ended():
    """A holder that was paused while connecting must not probe after lease expiry."""
    ownership = FakeOwnership()
    upstream = FakeUpstream()
    ownership.is_lease_valid = False
    async with run_prober(ownership, upstream) as (prober, _):
        await asyncio.sleep(1.8)
        assert prober.dump_state()["suppressed_without_lease"] > 0
    assert upstream.probe_times == []
