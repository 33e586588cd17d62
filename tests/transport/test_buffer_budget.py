"""The bytes that the requests of a process hold together."""

from hypothesis import given
from hypothesis import strategies as st

from verbenacross.transport.buffer_budget import BufferBudget

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
