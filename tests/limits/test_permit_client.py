import asyncio
import time
from typing import Any

import pytest

from tests.fake_clock import FakeClock
from verbenacross.limits import PermitClient
from verbenacross.limits.permit_client import MAX_OVERRUN_S
from verbenacross.policy import Policy
from verbenacross.policy.policy import RequestClass
from verbenacross.protocol.messages import (
    PermitGrant,
    PermitRelease,
    PermitReport,
    PermitRequest,
)
from verbenacross.refusals import Execution, RefusedError
from verbenacross.routing import RequestContext

LONG = RequestClass("long", size="long")


def build_context(timeout_s: float = 5.0) -> RequestContext:
    policy = Policy(1, "web", 1)
    deadline = time.monotonic() + timeout_s
    return RequestContext("id", "web", policy, 1, LONG, True, deadline)


class Link:
    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.clock = FakeClock()
        self.client = PermitClient(self.sent.append, self.clock)

    def find(self, kind: type) -> list[Any]:
        return [message for message in self.sent if isinstance(message, kind)]

    async def start(self, timeout_s: float = 5.0) -> Any:
        task = asyncio.create_task(self.client.acquire(build_context(timeout_s)))
        await asyncio.sleep(0)
        return task

    def grant(self, sequence: int = 1) -> None:
        permit = self.find(PermitRequest)[0].permit
        self.client.accept_grant(PermitGrant(permit, "u0", 5_000, sequence, "web"))


async def test_permit_is_renewed_while_work_runs_and_returned():
    """Guards against a permit that lapses under running work, or never returns."""
    link = Link()
    task = await link.start()
    link.grant()
    assert await task == "u0"
    for _ in range(8):
        link.clock.now += 0.5
        link.client.send_due_reports()
    assert len(link.find(PermitReport)) == 5
    link.client.release(build_context(), "u0")
    assert link.find(PermitRelease)[0].permit == link.find(PermitReport)[0].permit
    link.clock.now += 2
    link.client.send_due_reports()
    assert len(link.find(PermitReport)) == 5


async def test_grant_that_was_held_up_is_not_used():
    """Guards against work on a slot that has lapsed and belongs to another."""
    link = Link()
    task = await link.start()
    link.clock.now += 4.6
    link.grant()
    await asyncio.sleep(0.6)
    assert not task.done()
    link.grant(2)
    assert await task == "u0"


async def test_request_without_a_slot_is_refused_as_not_run():
    """Guards the deadline and the slot of a request that gives up."""
    link = Link()
    task = await link.start(0.05)
    with pytest.raises(RefusedError) as caught:
        await task
    assert caught.value.refusal.execution is Execution.NOT_RUN
    assert link.find(PermitRelease)


async def test_cancelled_request_returns_its_slot():
    """Guards against slots lost to callers that went away."""
    link = Link()
    task = await link.start()
    link.grant()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert link.find(PermitRelease)


async def test_short_request_is_reported_only_once_it_is_long():
    """Guards the share of long work against requests of the wrong class."""
    link = Link()
    context = build_context()
    link.client.track_short_request(context, "u1")
    link.clock.now += 0.9
    link.client.send_due_reports()
    assert not link.sent
    link.clock.now += 0.2
    link.client.send_due_reports()
    assert link.find(PermitReport)[0].upstream == "u1"
    link.client.release(context, "u1")
    assert link.find(PermitRelease)
    link.client.track_short_request(context, "u1")
    link.client.release(context, "u1")
    assert len(link.sent) == 2


async def test_request_that_is_never_released_is_given_up():
    """Guards against a slot that a lost request keeps for ever."""
    link = Link()
    link.client.track_short_request(build_context(), "u1")
    link.clock.now += 2
    link.client.send_due_reports()
    link.clock.now += MAX_OVERRUN_S + 5
    link.client.send_due_reports()
    assert link.find(PermitRelease)
    assert link.client.dump_state()["running"] == 0
