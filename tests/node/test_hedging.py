"""Second attempts of real node processes, as the upstreams and the caller see them."""

from __future__ import annotations

import asyncio
import json
import signal
import time

import pytest

from .conftest import build_rule, wait_until

USUAL_S = 0.04
SLOW_S = 1.2
LARGE = b"x" * 3_000_000


async def open_site(site, **settings):
    """Starts a node that knows the usual latency and prefers the first upstream."""
    await site.configure(
        build_rule("/safe/", target_latency="1s", timeout="3s"),
        build_rule("/once/", kind="unsafe", target_latency="1s", timeout="3s"),
    )
    await site.add_upstream("u1", service_time_s=USUAL_S)
    await site.add_upstream("u2", service_time_s=USUAL_S, slowness_percent=160)
    node = await site.add_node(**settings)
    await node.wait_ready()
    await wait_until(lambda: len(node.find_lines("upstream discovered")) == 2)
    for start in range(0, 40, 4):
        await asyncio.gather(
            *[
                node.call(*request, request_id=f"usual-{start}-{number}")
                for number, request in enumerate(
                    [("/safe/x",)] * 3 + [("/once/x", "POST")]
                )
            ]
        )
    for upstream in site.upstreams:
        upstream.runs.clear()
    return node


async def find_line(node, message, **fields) -> dict:
    """Waits for a log line, which may come after the response, and returns it."""
    await wait_until(lambda: node.find_lines(message, **fields))
    [line] = node.find_lines(message, **fields)
    return line


async def read_counts(node) -> dict:
    return (await node.read_state())["hedging"]["service-a"]


async def call_timed(node, *request, **options):
    started = time.monotonic()
    status, headers, body = await node.call(*request, **options)
    return status, headers, body, time.monotonic() - started


async def test_slow_first_upstream_and_fast_second(empty_site):
    """Guards against a wait for a slow upstream, and against work left running."""
    node = await open_site(empty_site, hedge_ratio=0.2)
    first, second = empty_site.upstreams
    first.service_time_s = SLOW_S
    before = await read_counts(node)

    status, headers, body, duration_s = await call_timed(node)

    assert (status, body) == (200, second.body)
    assert headers["X-Request-Id"] == "r1"
    assert duration_s < SLOW_S / 2
    [slow_run], [fast_run] = first.runs, second.runs
    assert slow_run.headers["x-request-id"] == fast_run.headers["x-request-id"]
    await wait_until(lambda: slow_run.was_aborted)
    counts = await read_counts(node)
    assert counts["sent"] == before["sent"] + 1
    assert counts["won"] == before["won"] + 1
    line = await find_line(node, "upstream chosen", request_id="r1", is_hedge=True)
    assert (line["upstream"], line["attempt"]) == ("u2", 2)
    line = await find_line(node, "attempt abandoned", request_id="r1")
    assert line["upstream"] == "u1"
    line = await find_line(node, "request completed", request_id="r1")
    assert (line["sends"], line["upstream"]) == (2, "u2")
    url = f"http://{node.settings['metrics_listen']}/metrics"
    async with empty_site.session.get(url) as response:
        metrics = await response.text()
    expected = f'result="won",service="service-a"}} {counts["won"]}'
    assert f"verbenacross_second_attempts_total{{{expected}" in metrics
    # The upstream is free again for the balancer.
    state = await node.read_state()
    upstreams = state["services"]["service-a"]["upstreams"]
    assert [upstream["in_flight"] for upstream in upstreams.values()] == [0, 0]


async def test_silent_first_upstream_counts_as_failed(empty_site):
    """Guards against a silent upstream that second attempts hide from the balancer."""
    node = await open_site(empty_site, hedge_ratio=0.2)
    first, second = empty_site.upstreams
    first.default_behaviour = "silent"
    # The second attempt takes long enough to show that the first one is silent.
    second.service_time_s = 4 * USUAL_S

    for number in range(4):
        status, _, body, duration_s = await call_timed(node, request_id=f"r{number}")
        assert (status, body) == (200, second.body)
        assert duration_s < 1.0

    line = await find_line(node, "attempt abandoned", is_silent=True)
    assert (line["request_id"], line["upstream"]) == ("r0", "u1")
    state = await node.read_state()
    assert state["services"]["service-a"]["upstreams"]["u1"]["failure_rate"] > 0.2
    # The later requests went to the other upstream first.
    lines = node.find_lines("upstream chosen", upstream="u1", attempt=1)
    assert not [line for line in lines if line["request_id"] in ("r1", "r2", "r3")]


async def test_both_reject(empty_site):
    """Guards against "not run" from one of two, and against a third attempt."""
    node = await open_site(empty_site, hedge_ratio=0.2)
    for upstream in empty_site.upstreams:
        upstream.default_behaviour = "shed-late"
        upstream.service_time_s = 0.3

    status, _, body = await node.call()

    assert status == 503
    assert json.loads(body)["problem"] == "not-run"
    assert [len(upstream.refused) for upstream in empty_site.upstreams] == [1, 1]


async def test_second_continues_when_the_first_breaks(empty_site):
    """Guards against a failure that is reported while another attempt may succeed."""
    node = await open_site(empty_site, hedge_ratio=0.2)
    first, second = empty_site.upstreams
    first.service_time_s, first.default_behaviour = 0.3, "reset"
    second.service_time_s = 0.6

    status, _, body = await node.call()

    assert (status, body) == (200, second.body)
    assert [len(upstream.runs) for upstream in empty_site.upstreams] == [1, 1]
    line = await find_line(node, "request completed with errors", request_id="r1")
    assert "u1" in line["cause"]


async def test_rejection_of_one_is_no_statement_about_the_other(empty_site):
    """Guards against a 503 that says that nothing ran while one upstream is silent."""
    node = await open_site(empty_site, hedge_ratio=0.2)
    first, second = empty_site.upstreams
    first.default_behaviour = "silent"
    second.service_time_s, second.default_behaviour = 0.1, "shed-late"

    status, _, _ = await node.call()

    assert status == 504
    assert len(first.runs) == 1


async def test_streamed_response_wins_and_arrives_whole(empty_site):
    """Guards against parts of two responses in one, and a loser that is kept open."""
    node = await open_site(empty_site, hedge_ratio=0.2)
    first, second = empty_site.upstreams
    first.service_time_s = SLOW_S
    second.body, second.default_behaviour = LARGE, "slow-body"
    second.body_time_s = 0.6

    status, _, body = await node.call()

    assert (status, body) == (200, LARGE)
    # It was cancelled at the head of the response, not at its end.
    line = await find_line(node, "attempt abandoned", request_id="r1")
    assert line["after_ms"] < 400
    await wait_until(lambda: first.runs[0].was_aborted)


async def test_caller_that_leaves_stops_both_attempts(empty_site):
    """Guards against work that nobody waits for."""
    node = await open_site(empty_site, hedge_ratio=0.2)
    for upstream in empty_site.upstreams:
        upstream.service_time_s = SLOW_S
    call = asyncio.create_task(node.call())
    await wait_until(lambda: len(empty_site.find_runs("r1")) == 2)

    call.cancel()

    await wait_until(lambda: all(run.was_aborted for run in empty_site.find_runs("r1")))
    assert node.find_lines("caller disconnected", request_id="r1")
    assert len(empty_site.find_runs("r1")) == 2


@pytest.mark.parametrize(
    ("settings", "request_line", "event"),
    [
        # It might be run twice.
        ({"hedge_ratio": 0.2}, ("/once/x", "POST"), None),
        # Nobody asked for second attempts.
        ({}, ("/safe/x",), None),
        ({"hedge_ratio": 0}, ("/safe/x",), None),
        # Turning them off must not need a restart.
        ({"hedge_ratio": 0.2}, ("/safe/x",), "reload"),
        # A process that is about to end starts no more work.
        ({"hedge_ratio": 0.2}, ("/safe/x",), "stop"),
    ],
    ids=["once", "default", "zero", "reloaded", "stopping"],
)
async def test_one_attempt_only(empty_site, settings, request_line, event):
    """Guards against work that is done twice, or that nobody asked for."""
    node = await open_site(empty_site, **settings)
    for upstream in empty_site.upstreams:
        upstream.service_time_s = SLOW_S
    if event == "reload":
        path = empty_site.directory / "node-1.json"
        path.write_text(json.dumps(node.settings | {"hedge_ratio": 0.0}))
        node.send_signal(signal.SIGHUP)
        await wait_until(lambda: node.find_lines("settings reloaded"))
    call = asyncio.create_task(node.call(*request_line))
    await wait_until(lambda: empty_site.find_runs("r1"))
    if event == "stop":
        node.send_signal(signal.SIGTERM)

    assert (await call)[0] == 200

    assert len(empty_site.find_runs("r1")) == 1
