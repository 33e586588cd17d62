"""All orders in which the two attempts of a request can end, on virtual time."""

from __future__ import annotations

import asyncio
import itertools
import random
from types import SimpleNamespace

import pytest
from multidict import CIMultiDict

from measure.virtual_loop import run_in_virtual_time
from verbenacross.balancing.balancing_context import BalancingContext
from verbenacross.balancing.exceptions import NoUpstreamError
from verbenacross.balancing.windowed_retry_budget import WindowedRetryBudget
from verbenacross.hedging.hedge_policy import HedgePolicy
from verbenacross.node import proxied_request
from verbenacross.node.attempt_result import (
    BufferedResponse,
    NoUsableResponse,
    Rejected,
    StreamedResponse,
)
from verbenacross.node.proxied_request import ProxiedRequest
from verbenacross.routes.route import Route
from verbenacross.transport.buffer_budget import BufferBudget

HEDGE_AT, SENT_AT, DEADLINE = 2.0, 3.0, 10.0
KINDS = ("answer", "stream", "error", "rejected", "reset", "unsent", "timeout")
USABLE = ("answer", "stream")
NOT_RUN = ("rejected", "unsent")


def build_policy(ratio, now=0.0) -> HedgePolicy:
    policy = HedgePolicy(ratio, random.Random(1))
    for _ in range(100):
        policy.record_request(now)
        policy.record_latency("work", HEDGE_AT, now)
    return policy


class FakeAttempt:
    """Ends as its site's script says: a kind of result and a duration."""

    site: FakeSite

    def __init__(self, client, balancer, tracked, context, held) -> None:
        self.tracked, self.held, self.deadline = tracked, held, context.deadline
        self.started_at = asyncio.get_running_loop().time()
        self.has_response_head = self.streams_early = False
        self.was_silent = self.was_cancelled = self.was_ended = False
        self.name = tracked.upstream.id
        self.kind, self.duration_s = self.site.scripts[len(self.site.attempts)]
        self.site.attempts.append(self)

    async def run(self, *request, new_connection):
        site = self.site
        site.under_way += 1
        site.most_under_way = max(site.most_under_way, site.under_way)
        is_streamed = False
        try:
            self.held.reserve(10)
            if self.kind == "timeout":
                self.duration_s = self.deadline - self.started_at
            await asyncio.sleep(self.duration_s)
            is_streamed = self.kind == "stream"
            return self._build_result()
        except asyncio.CancelledError:
            self.was_cancelled = True
            raise
        finally:
            site.under_way -= 1
            if not is_streamed:
                site.released.append(self.name)

    def _build_result(self):
        match self.kind:
            case "answer":
                return BufferedResponse(200, "", CIMultiDict(), self.name.encode())
            case "error":
                return BufferedResponse(500, "", CIMultiDict(), self.name.encode())
            case "stream":
                return StreamedResponse(None, CIMultiDict(), None, None)
            case "rejected":
                return Rejected(503)
            case "timeout":
                return NoUsableResponse("late", request_sent=True, timed_out=True)
        return NoUsableResponse("broken", request_sent=self.kind == "reset")

    def may_have_sent(self) -> bool:
        return self.kind != "unsent"

    def record_silence(self) -> None:
        self.was_silent = True

    def end_stream(self, result, failure) -> None:
        assert not self.was_ended
        self.was_ended = True
        self.site.released.append(self.name)


class FakeSite:
    """A balancer whose upstreams are named in the order of their assignment."""

    service = "service-a"

    def __init__(self, *scripts, has_second=True, idempotent=True) -> None:
        self.scripts = [*scripts, ("answer", 0.5), ("answer", 0.5)]
        self.attempts: list[FakeAttempt] = []
        self.released: list[str] = []
        self.acquired: list[str] = []
        self.under_way = self.most_under_way = 0
        self.has_second = has_second
        self.is_full = False
        self.idempotent = idempotent
        self.is_stopping = False
        self.body_is_buffered = True
        self.budget = BufferBudget(1_000)
        self.policy = build_policy(0.2, asyncio.get_running_loop().time())
        self.retries = WindowedRetryBudget(0.2, 56, 10)

    async def acquire(self, context):
        if len(self.acquired) == 3:
            raise NoUpstreamError("none", 0.1)
        return self._assign(context)

    async def try_acquire(self, context):
        await asyncio.sleep(SENT_AT - HEDGE_AT)
        return self._assign(context) if self.has_second else None

    def _assign(self, context):
        name = f"u{len(self.acquired) + 1}"
        assert name not in context.excluded
        assert context.excluded >= {
            attempt.name for attempt in self.attempts if attempt.kind != "unsent"
        }
        self.acquired.append(name)
        upstream = SimpleNamespace(id=name)
        return SimpleNamespace(
            upstream=upstream, report=None, reported_at=0.0, in_flight=1
        )

    def release(self, tracked, context, outcome) -> None:
        self.released.append(tracked.upstream.id)

    def accepts(self, tracked) -> bool:
        return True

    def has_alternative(self, context, tracked) -> bool:
        return True

    def is_overloaded(self) -> bool:
        return self.is_full

    async def send(self, cancel_at=None):
        """Sends a request at time 0; returns it and its response, if there is one."""
        request = SimpleNamespace(method="GET", headers=CIMultiDict())
        route = Route(
            "work", "", "/", self.idempotent, 1_000.0, 1, DEADLINE, 2, (), False
        )
        start = asyncio.get_running_loop().time()
        context = BalancingContext("r", "work", 1, start, start + 1_000, start + 10)
        body = SimpleNamespace(
            is_buffered=lambda: self.body_is_buffered, is_replayable=lambda: True
        )
        FakeAttempt.site = self
        self.retries.record_request(start)
        with self.budget.open() as held:
            proxied = ProxiedRequest(
                request, "/", route, context, body, self, None, self.retries, 1, held
            )
            proxied.enable_hedging(self.policy, lambda: self.is_stopping)
            running = asyncio.create_task(proxied.run())
            if cancel_at is not None:
                asyncio.get_running_loop().call_at(cancel_at, running.cancel)
            await asyncio.wait({running})
        response = None if running.cancelled() else running.result()
        return proxied, response


@pytest.fixture(autouse=True)
def fake_attempts(monkeypatch):
    async def stream(self, attempt, result):
        attempt.end_stream(result, None)
        return SimpleNamespace(status=200, body=attempt.name.encode())

    monkeypatch.setattr(proxied_request, "UpstreamAttempt", FakeAttempt)
    monkeypatch.setattr(ProxiedRequest, "_stream", stream)


def check_order(site, proxied, response, ends):
    """Checks a finished request; ``ends`` has the end and kind of each attempt."""
    usable = sorted((at, name) for name, (at, kind) in ends.items() if kind in USABLE)
    if usable:
        # Of two responses at the same time, either may win.
        earliest = [name for at, name in usable if at == usable[0][0]]
        assert response.status == 200
        assert response.body.decode() in earliest
        for attempt in site.attempts:
            is_loser = attempt.name != response.body.decode()
            if is_loser and ends[attempt.name][0] > usable[0][0]:
                assert attempt.was_cancelled
        return
    kinds = [kind for _, kind in ends.values()]
    if response.status == 200:
        # The usual rules allowed a retry, after both had failed.
        assert "timeout" not in kinds
        assert response.body == f"u{len(ends) + 1}".encode()
        return
    if all(kind in NOT_RUN for kind in kinds):
        assert response.status == 503
        assert not proxied.may_have_run
    else:
        assert response.status == 500 if "error" in kinds else response.status >= 502
        assert response.status != 503
        assert proxied.may_have_run


ORDERS = list(
    itertools.product(
        KINDS, (1.0, 2.5, 5.0, 7.0), KINDS, (1.0, 2.0, 5.0), (True, False)
    )
)


@pytest.mark.parametrize("cancel_at", [None, 0.5, 2.5, 3.5, 5.0, 6.0])
def test_every_order_of_two_attempts(cancel_at):
    """Guards against lost or doubled responses, releases and statements of "not run".

    The first attempt ends before or while an upstream for the second is looked for, or
    before, with or after the second attempt, and the caller may leave in between.
    """

    async def scenario():
        for first, first_s, second, second_s, has_second in ORDERS:
            first_end = DEADLINE if first == "timeout" else first_s
            is_hedged = first_end > SENT_AT and has_second
            scripts = [(first, first_s), (second, second_s)][: 1 + is_hedged]
            site = FakeSite(*scripts, has_second=has_second)
            start = asyncio.get_running_loop().time()
            at = None if cancel_at is None else start + cancel_at
            proxied, response = await site.send(cancel_at=at)

            assert site.under_way == 0
            assert site.budget.held_bytes == 0
            assert site.most_under_way <= 2
            assert sorted(site.released) == sorted(site.acquired)
            assert site.policy.counts.sent <= is_hedged
            assert site.policy.counts.sent == len(site.policy._hedges)
            if response is None:
                continue
            assert site.policy.counts.sent == is_hedged
            ends = {"u1": (first_end, first)}
            if is_hedged:
                second_end = SENT_AT + second_s if second != "timeout" else DEADLINE
                ends["u2"] = (second_end, second)
            sent = sum(kind != "unsent" for _, kind in ends.values())
            assert proxied.sends >= min(sent, 2)
            assert proxied.sends <= 2
            check_order(site, proxied, response, ends)

    run_in_virtual_time(scenario())


def run_one(*scripts, **changes):
    """Sends a request at a site with these changes; returns the site and response."""

    async def scenario():
        site = FakeSite(*scripts)
        for name, value in changes.items():
            setattr(site, name, value)
        _, response = await site.send()
        return site, response

    return run_in_virtual_time(scenario())


@pytest.mark.parametrize(
    "change",
    [
        {"idempotent": False},
        {"is_full": True},
        {"is_stopping": True},
        {"body_is_buffered": False},
    ],
    ids=str,
)
def test_no_second_attempt(change):
    """Guards against a request that runs twice, and against load on a full service."""
    site, response = run_one(("answer", 5.0), ("answer", 0.5), **change)

    assert response.body == b"u1"
    # Not even an upstream was looked for.
    assert site.acquired == ["u1"]


def test_no_second_attempt_within_the_budgets():
    """Guards against second attempts that the retry budget does not know of."""
    for change in (
        {"policy": build_policy(0.0001)},
        {"retries": WindowedRetryBudget(0.0, 0.0, 10)},
    ):
        site, response = run_one(("answer", 5.0), ("answer", 0.5), **change)

        assert response.body == b"u1"
        assert site.policy.counts.over_budget == 1
        assert site.policy.counts.sent == 0


def test_no_second_attempt_once_the_head_has_come():
    """Guards against second attempts for responses that only take long to arrive."""

    async def scenario():
        site = FakeSite(("answer", 5.0), ("answer", 0.5))
        loop = asyncio.get_running_loop()
        loop.call_at(1.0, lambda: setattr(site.attempts[0], "has_response_head", True))
        await site.send()
        return site.acquired

    assert run_in_virtual_time(scenario()) == ["u1"]


def test_one_second_attempt_for_a_request():
    """Guards against a race of the attempt that follows two failed connections."""
    site, response = run_one(("unsent", 4.0), ("unsent", 1.0), ("answer", 4.0))
    assert response.body == b"u3"
    assert site.acquired == ["u1", "u2", "u3"]
    assert site.policy.counts.sent == 1


def test_silent_loser_is_evidence_and_a_slow_one_is_not():
    """Guards against silent upstreams that second attempts hide from the balancer."""
    for second_s, is_silent in ((2.0, False), (4.0, True)):
        site, response = run_one(("timeout", 0.0), ("answer", second_s))
        assert response.body == b"u2"
        assert site.attempts[0].was_silent is is_silent
        assert site.policy.counts.won == 1
