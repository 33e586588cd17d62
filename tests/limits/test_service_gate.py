import asyncio

import pytest

from tests.fake_clock import FakeClock
from tests.routing.builders import (
    build_admission_controller,
    build_context,
    build_policy,
    build_router,
)
from verbenacross.limits.admission_controller import MAX_SKIPPED_REQUESTS
from verbenacross.refusals import Execution, RequestProblemError
from verbenacross.routing import AttemptOutcome

MEDIAN_LATENCY_S = 0.1


def build_admission(clock, upstreams=1, slots=2, queue_size=512, **options):
    policy = build_policy(
        upstreams={"slots": slots},
        limits={"queue_size": queue_size, "concurrency_headroom": 1.0},
        **options,
    )
    router = build_router(clock, upstreams=upstreams)
    router.latencies.add("short", MEDIAN_LATENCY_S)
    return build_admission_controller(router), policy


async def take_all_slots(admission, context):
    """Acquires upstreams until a request has to wait; returns them."""
    taken = []
    while True:
        task = asyncio.ensure_future(admission.acquire(context))
        await asyncio.sleep(0)
        if not task.done():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return taken
        taken.append(task.result())


async def enqueue(admission, *contexts):
    tasks = [asyncio.ensure_future(admission.acquire(context)) for context in contexts]
    await asyncio.sleep(0)
    return tasks


async def get_problem_details(task):
    with pytest.raises(RequestProblemError) as caught:
        await task
    return caught.value.details


def build_outcome(latency_s=MEDIAN_LATENCY_S):
    return AttemptOutcome(latency_s)


def test_acquire_does_not_wait_while_there_is_room():
    """Guards the fast path: ``acquire`` does not suspend while slots are free."""
    clock = FakeClock()
    admission, policy = build_admission(clock)
    coroutine = admission.acquire(build_context(policy))
    with pytest.raises(StopIteration) as finished:
        coroutine.send(None)
    assert finished.value.value.instance.id == "u0"


async def test_waiting_happens_in_the_entry():
    """Guards against queues on upstreams, where requests cannot be rerouted."""
    clock = FakeClock()
    admission, policy = build_admission(clock, upstreams=3, slots=2)
    taken = await take_all_slots(admission, build_context(policy))
    assert len(taken) == 6
    (task,) = await enqueue(admission, build_context(policy))
    clock.now += MEDIAN_LATENCY_S
    admission.release(build_context(policy), taken[0], build_outcome())
    admission.release(build_context(policy), taken[1], build_outcome())
    assert (await task).instance.id in {"u0", "u1", "u2"}


async def test_priority_then_deadline_decide():
    """Guards the order of the queue: priority first, then deadline."""
    clock = FakeClock()
    admission, policy = build_admission(clock)
    taken = await take_all_slots(admission, build_context(policy))
    order = []
    requests = {
        "late": build_context(policy, clock.now + 30),
        "early": build_context(policy, clock.now + 20),
        "important": build_context(policy, clock.now + 40, priority=9),
    }
    tasks = await enqueue(admission, *requests.values())
    for name, task in zip(requests, tasks, strict=True):
        task.add_done_callback(lambda _, name=name: order.append(name))
    for _ in range(3):
        clock.now += MEDIAN_LATENCY_S
        admission.release(build_context(policy), taken.pop(), build_outcome())
        await asyncio.sleep(0)
        done = [task for task in tasks if task.done()]
        taken += [task.result() for task in done[len(order) :]]
        await asyncio.sleep(0)
    assert order == ["important", "early", "late"]


async def test_unreachable_deadline_is_refused_at_once():
    """Guards against queueing a request that cannot complete in time."""
    clock = FakeClock()
    admission, policy = build_admission(clock)
    await take_all_slots(admission, build_context(policy))
    (task,) = await enqueue(admission, build_context(policy, clock.now + 0.05))
    details = await get_problem_details(task)
    assert details.status == 503
    assert details.execution is Execution.NOT_RUN
    assert details.retry_after_s >= 1
    assert admission.waiting == 0


async def test_deadline_that_passes_while_waiting_is_refused():
    """Guards deadlines of requests so far back that no dispatch considers them."""
    clock = FakeClock()
    admission, policy = build_admission(clock)
    await take_all_slots(admission, build_context(policy))
    ahead = [build_context(policy, clock.now + 60, priority=9)] * MAX_SKIPPED_REQUESTS
    waiting = await enqueue(admission, *ahead)
    (task,) = await enqueue(admission, build_context(policy, clock.now + 5))
    clock.now += 5
    details = await asyncio.wait_for(get_problem_details(task), 5)
    assert details.problem == "deadline-unreachable"
    assert not any(other.done() for other in waiting)


async def test_full_queue_sheds_what_would_be_served_last():
    """Guards load shedding at peaks: high priority displaces low priority."""
    clock = FakeClock()
    admission, policy = build_admission(clock, queue_size=1)
    await take_all_slots(admission, build_context(policy))
    first, second = await enqueue(
        admission, build_context(policy, priority=1), build_context(policy, priority=9)
    )
    details = await get_problem_details(first)
    assert details.problem == "queue-full"
    assert details.execution is Execution.NOT_RUN
    assert not second.done()


async def test_slot_granted_to_a_caller_that_left_is_given_on():
    """Guards against a slot leak when a grant and a cancellation coincide."""
    clock = FakeClock()
    admission, policy = build_admission(clock)
    taken = await take_all_slots(admission, build_context(policy))
    left, next_one = await enqueue(
        admission, build_context(policy, clock.now + 20), build_context(policy)
    )
    clock.now += MEDIAN_LATENCY_S
    admission.release(build_context(policy), taken.pop(), build_outcome())
    left.cancel()
    await asyncio.gather(left, return_exceptions=True)
    assert (await asyncio.wait_for(next_one, 5)).instance.id == "u0"


async def test_retry_without_an_upstream_does_not_hold_up_others():
    """Guards against head-of-line blocking by a retry with excluded upstreams."""
    clock = FakeClock()
    admission, policy = build_admission(clock, upstreams=2)
    taken = await take_all_slots(admission, build_context(policy))
    retry = asyncio.ensure_future(admission.acquire(build_context(policy, 2e3), {"u0"}))
    await asyncio.sleep(0)
    (other,) = await enqueue(admission, build_context(policy, 3e3))
    clock.now += MEDIAN_LATENCY_S
    for state in [state for state in taken if state.instance.id == "u0"]:
        admission.release(build_context(policy), state, build_outcome())
    assert (await asyncio.wait_for(other, 5)).instance.id == "u0"
    assert not retry.done()
    retry.cancel()


async def test_no_upstream_is_refused():
    """Guards against queueing a request when every upstream is excluded."""
    clock = FakeClock()
    admission, policy = build_admission(clock)
    details = await get_problem_details(
        admission.acquire(build_context(policy), {"u0"})
    )
    assert details.problem == "no-upstream"


async def test_limit_falls_for_a_slowed_upstream_and_returns():
    """Guards adaptive concurrency: the limit falls with latency and recovers."""
    clock = FakeClock()
    admission, policy = build_admission(clock, upstreams=2, slots=6)
    context = build_context(policy)
    (state,) = [
        item for item in admission.router.get_states() if item.instance.id == "u0"
    ]

    def serve(latency_s, count, at_once):
        for _ in range(count):
            for _ in range(at_once):
                admission.router.start_attempt(state, context)
            clock.now += latency_s
            for _ in range(at_once):
                admission.release(
                    build_context(policy), state, build_outcome(latency_s)
                )

    serve(MEDIAN_LATENCY_S, 5, 1)
    before = state.limit_factor
    # Few enough requests that the median latency does not follow yet.
    serve(MEDIAN_LATENCY_S * 2, 10, 1)
    lowered = state.limit_factor
    serve(MEDIAN_LATENCY_S, 60, 6)
    assert before == 1
    assert lowered <= 4 / 6
    assert state.limit_factor >= 1


async def test_deadline_behind_others_is_refused_at_once():
    """Guards the predicted wait.

    The deadline could be met by an immediate attempt, but not behind the queue.
    """
    clock = FakeClock()
    admission, policy = build_admission(clock)
    await take_all_slots(admission, build_context(policy))
    await enqueue(admission, *[build_context(policy, priority=9)] * 20)
    (task,) = await enqueue(admission, build_context(policy, clock.now + 0.5))
    assert task.done()
    assert (await get_problem_details(task)).retry_after_s >= 1
