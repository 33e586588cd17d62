"""Stateful test of admission: no leaked slots or requests, no grants above limits."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.fake_clock import FakeClock
from tests.routing.builders import (
    build_admission_controller,
    build_context,
    build_instance,
    build_policy,
    build_router,
)
from verbenacross.refusals import RequestProblemError
from verbenacross.routing import AttemptOutcome

SLOTS = 2
UPSTREAMS = 3
QUEUE_SIZE = 4
CONNECTIONS = 12
PEERS = 3


class GateMachine(RuleBasedStateMachine):
    @initialize(chooser=st.sampled_from(["least_estimated", "two_choices_reported"]))
    def start(self, chooser):
        self.loop = asyncio.new_event_loop()
        self.clock = FakeClock()
        self.policy = build_policy(
            upstreams={"slots": SLOTS, "connections": CONNECTIONS},
            limits={"queue_size": QUEUE_SIZE},
            chooser=chooser,
        )
        self.router = build_router(self.clock, UPSTREAMS, PEERS)
        self.admission = build_admission_controller(self.router)
        self.tasks = []
        self.held = []

    def teardown(self):
        if not hasattr(self, "loop"):
            return
        for task in self.tasks:
            task.cancel()
        self.settle()
        while self.held:
            self.admission.release(
                build_context(self.policy), self.held.pop(), AttemptOutcome(0.01)
            )
        self.settle()
        assert self.admission.waiting == 0
        assert self.router.in_flight == 0
        assert all(not state.attempts for state in self.router.get_states())
        if self.admission._recheck_timer is not None:
            self.admission._recheck_timer.cancel()
        self.loop.close()

    def settle(self):
        """Runs the loop and collects the results of requests that no longer wait."""
        for _ in range(3):
            self.loop.run_until_complete(asyncio.sleep(0))
        for task in [task for task in self.tasks if task.done()]:
            self.tasks.remove(task)
            if task.cancelled():
                continue
            error = task.exception()
            if error is None:
                self.held.append(task.result())
            else:
                assert isinstance(error, RequestProblemError)

    @rule(
        timeout_s=st.sampled_from([0.001, 0.05, 1.0, 60.0]),
        priority=st.integers(0, 9),
        excluded=st.sets(st.sampled_from(["u0", "u1", "u2"])),
    )
    def request(self, timeout_s, priority, excluded):
        deadline = self.clock.now + timeout_s
        context = build_context(self.policy, deadline, priority=priority)
        acquire = self.admission.acquire(context, excluded)
        self.tasks.append(self.loop.create_task(acquire))
        self.settle()

    @rule(
        index=st.integers(0, 100),
        latency_s=st.sampled_from([0.001, 0.02, 0.3]),
        failed=st.booleans(),
        cancelled=st.booleans(),
        cancelled_index=st.none() | st.integers(0, 100),
    )
    def release(self, index, latency_s, failed, cancelled, cancelled_index):
        if not self.held:
            return
        state = self.held.pop(index % len(self.held))
        self.clock.now += latency_s
        outcome = AttemptOutcome(latency_s, failed=failed, cancelled=cancelled)
        self.admission.release(build_context(self.policy), state, outcome)
        if cancelled_index is not None and self.tasks:
            self.tasks[cancelled_index % len(self.tasks)].cancel()
        self.settle()

    @rule(index=st.integers(0, 100))
    def cancel(self, index):
        if self.tasks:
            self.tasks[index % len(self.tasks)].cancel()
            self.settle()

    @rule(kept=st.sets(st.integers(0, UPSTREAMS - 1), min_size=1))
    def change_instances(self, kept):
        self.router.set_instances(build_instance(index) for index in sorted(kept))
        self.admission.dispatch_soon = self.loop.call_soon(self.admission.dispatch)
        self.settle()

    @invariant()
    def holds(self):
        if not hasattr(self, "loop"):
            return
        assert self.router.in_flight == len(self.held)
        assert self.admission.waiting == len(self.tasks) <= QUEUE_SIZE
        for state in self.router.get_states():
            held = sum(item is state for item in self.held)
            assert state.in_flight == held == len(state.attempts)
            assert state.in_flight <= CONNECTIONS // PEERS
        if self.admission.waiting and not self.held:
            raise AssertionError("requests are queued while none is in flight")


GateMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
TestGateMachine = GateMachine.TestCase
