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
from verbenacross.refusals import Execution, RequestProblemError
from verbenacross.routing import RequestContext

LONG = RequestClass("long", size="long")


def build_context(timeout_s: float = 5.0) -> RequestContext:
    policy = Policy(1, "web", 1)
    deadline = time.monotonic() + timeout_s
    return RequestContext("id", "web", policy, 1, LONG, True, deadline)


class PermitClientHarness:
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
    """Guards against a permit that expires during a request or is never released."""
    harness = PermitClientHarness()
    task = await harness.start()
    harness.grant()
    assert await task == "u0"
    for _ in range(8):
        harness.clock.now += 0.5
        harness.client.send_due_reports()
    assert len(harness.find(PermitReport)) == 5
    harness.client.release(build_context(), "u0")
    assert harness.find(PermitRelease)[0].permit == harness.find(PermitReport)[0].permit
    harness.clock.now += 2
    harness.client.send_due_reports()
    assert len(harness.find(PermitReport)) == 5


async def test_grant_that_was_held_up_is_not_used():
    """Guards against using an expired slot that was granted to another request.

    The grant arrives 4.6 s after the request, less than the safety margin before its
    lifetime of 5 s ends.
    """
    harness = PermitClientHarness()
    task = await harness.start()
    harness.clock.now += 4.6
    harness.grant()
    await asyncio.sleep(0.6)
    assert not task.done()
    harness.grant(2)
    assert await task == "u0"


async def test_request_without_a_slot_is_refused_as_not_run():
    """Guards the deadline of a waiting request and the release of its slot."""
    harness = PermitClientHarness()
    task = await harness.start(0.05)
    with pytest.raises(RequestProblemError) as caught:
        await task
    assert caught.value.details.execution is Execution.NOT_RUN
    assert harness.find(PermitRelease)


async def test_cancelled_request_returns_its_slot():
    """Guards against leaked slots of callers that disconnect."""
    harness = PermitClientHarness()
    task = await harness.start()
    harness.grant()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert harness.find(PermitRelease)


async def test_short_request_is_reported_only_once_it_is_long():
    """Guards the share of long requests against long ones in a short class."""
    harness = PermitClientHarness()
    context = build_context()
    harness.client.track_short_request(context, "u1")
    harness.clock.now += 0.9
    harness.client.send_due_reports()
    assert not harness.sent
    harness.clock.now += 0.2
    harness.client.send_due_reports()
    assert harness.find(PermitReport)[0].upstream == "u1"
    harness.client.release(context, "u1")
    assert harness.find(PermitRelease)
    harness.client.track_short_request(context, "u1")
    harness.client.release(context, "u1")
    assert len(harness.sent) == 2


async def test_request_that_is_never_released_is_given_up():
    """Guards against a slot that is held forever by a request never released."""
    harness = PermitClientHarness()
    harness.client.track_short_request(build_context(), "u1")
    harness.clock.now += 2
    harness.client.send_due_reports()
    harness.clock.now += MAX_OVERRUN_S + 5
    harness.client.send_due_reports()
    assert harness.find(PermitRelease)
    assert harness.client.dump_state()["running"] == 0
