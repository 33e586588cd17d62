"""The memory that the responses of a process take together."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenacross.transport.buffer_budget import STREAM_BYTES, BufferBudget
from verbenacross.transport.exceptions import StreamLimitError

MAX_BYTES = 100
STEPS = st.lists(
    st.tuples(st.integers(0, 3), st.integers(0, 60) | st.none()), max_size=40
)


@given(STEPS)
def test_budget_is_never_exceeded_and_all_bytes_return(steps):
    """Requests reserve bytes, or release all of theirs and go on."""
    budget = BufferBudget(MAX_BYTES)
    reservations = [budget.open() for _ in range(4)]
    held = [0] * 4
    for index, size in steps:
        if size is None:
            reservations[index].release()
            held[index] = 0
        elif reservations[index].reserve(size):
            held[index] += size
        else:
            assert sum(held) + size > MAX_BYTES
        assert budget.held_bytes == sum(held) <= MAX_BYTES
    for reservation in reservations:
        with reservation:
            pass
    assert budget.held_bytes == 0


class StubResponse:
    """Response whose connection records whether it is read from."""

    def __init__(self) -> None:
        self.is_paused = False

    @property
    def connection(self) -> "StubResponse":
        return self

    @property
    def protocol(self) -> "StubResponse":
        return self

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False


async def stream(budget, response, until, timeout_s=10.0):
    deadline = asyncio.get_running_loop().time() + timeout_s
    async with budget.open_stream(response, deadline):
        await until.wait()


async def test_stream_beyond_the_limit_waits_unread():
    budget = BufferBudget(2 * STREAM_BYTES)
    ends = [asyncio.Event() for _ in range(3)]
    responses = [StubResponse() for _ in ends]
    tasks = [
        asyncio.create_task(stream(budget, response, end))
        for response, end in zip(responses, ends, strict=True)
    ]
    await asyncio.sleep(0)
    assert budget.stream_count == 2
    assert [response.is_paused for response in responses] == [False, False, True]

    ends[0].set()
    await tasks[0]
    await asyncio.sleep(0)

    assert budget.stream_count == 2
    assert not responses[2].is_paused
    for end in ends:
        end.set()
    await asyncio.gather(*tasks)
    assert budget.stream_count == 0


async def test_stream_that_waits_until_its_deadline_fails():
    budget = BufferBudget(STREAM_BYTES)
    end = asyncio.Event()
    first = asyncio.create_task(stream(budget, StubResponse(), end))
    await asyncio.sleep(0)

    with pytest.raises(StreamLimitError):
        await stream(budget, StubResponse(), asyncio.Event(), timeout_s=0.01)

    end.set()
    await first
    assert budget.stream_count == 0


async def test_slot_of_a_cancelled_request_goes_to_the_next():
    """Guards against slots that are lost when callers disconnect while they wait."""
    budget = BufferBudget(STREAM_BYTES)
    end = asyncio.Event()
    first = asyncio.create_task(stream(budget, StubResponse(), asyncio.Event()))
    await asyncio.sleep(0)
    cancelled = asyncio.create_task(stream(budget, StubResponse(), end))
    last = asyncio.create_task(stream(budget, StubResponse(), end))
    await asyncio.sleep(0)

    cancelled.cancel()
    first.cancel()
    end.set()

    await asyncio.wait_for(last, 1.0)
    assert budget.stream_count == 0


async def test_budget_below_one_stream_still_allows_one():
    budget = BufferBudget(1)
    end = asyncio.Event()
    end.set()
    await stream(budget, StubResponse(), end)
