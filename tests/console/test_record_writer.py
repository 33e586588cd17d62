"""Outcomes of writes with lost, late and refused calls and a concurrent writer."""

import asyncio
import contextlib
from unittest.mock import patch

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenacross.console import record_writer
from verbenacross.console.exceptions import OutcomeUnknownError, WriteRefusedError
from verbenacross.console.record_writer import RecordWriter
from verbenacross.infrastructure.exceptions import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from verbenacross.infrastructure.key_value_store import StoredValue, StoreSnapshot

KEY = "policies/a/1"
FAULTS = st.lists(
    st.sampled_from(
        ["ok", "lost", "unanswered", "late", "twice", "refused", "rival", "late-3"]
    ),
    max_size=8,
)


READ_FAULTS = ("lost", "unanswered", "late", "late-3")


class FaultyStore:
    """Store with one key; each call has the next fault of a list, then none."""

    def __init__(self, faults):
        self.faults = list(faults)
        self.history = []
        self.delayed_writes = []

    def compare_and_swap(self, body, expected):
        current = self.history[-1].revision if self.history else 0
        if current != expected:
            raise StoreConflictError(KEY, expected, current)
        self.history.append(StoredValue(KEY, body, current + 1))
        return current + 1

    def apply_delayed_writes(self, calls=1):
        """Applies the delayed writes that arrive within a number of calls."""
        pending, self.delayed_writes = self.delayed_writes, []
        for calls_left, body, expected in pending:
            if calls_left > calls:
                self.delayed_writes.append((calls_left - calls, body, expected))
                continue
            with contextlib.suppress(StoreConflictError):
                self.compare_and_swap(body, expected)

    def start_call(self):
        self.apply_delayed_writes()
        fault = self.faults.pop(0) if self.faults else "ok"
        if fault == "rival":
            body = b"rival %d" % len(self.history)
            self.compare_and_swap(
                body, self.history[-1].revision if self.history else 0
            )
        return fault

    async def put(self, key, body, expected, lease=None):
        fault = self.start_call()
        if fault == "refused":
            raise StoreError("status 413")
        if fault == "lost":
            raise StoreUnavailableError("lost before the write")
        if fault.startswith("late"):
            self.delayed_writes.append((3 if fault == "late-3" else 1, body, expected))
            raise StoreUnavailableError("timed out, still on its way")
        revision = self.compare_and_swap(body, expected)
        if fault == "unanswered":
            raise StoreUnavailableError("lost after the write")
        return self.compare_and_swap(body, expected) if fault == "twice" else revision

    async def read_prefix(self, prefix):
        if self.start_call() in READ_FAULTS:
            raise StoreUnavailableError("read lost")
        return StoreSnapshot(len(self.history), tuple(self.history[-1:]))

    async def watch(self, prefix, revision, wait_ms):
        if self.start_call() in READ_FAULTS:
            raise StoreUnavailableError("watch lost")
        return StoreSnapshot(len(self.history), tuple(self.history[revision:]))


@settings(max_examples=400, deadline=None)
@given(FAULTS, st.booleans())
def test_reported_outcome_is_true(faults, exists):
    """Guards against reporting a wrong outcome, in particular a false "not written"."""
    store = FaultyStore([])
    if exists:
        store.compare_and_swap(b"old", 0)
    writer = RecordWriter(store, timeout_ms=5_000)

    async def write():
        before = await writer.read(KEY)
        store.faults = list(faults)
        return await writer.write(b"mine", before)

    try:
        with patch.multiple(record_writer, MIN_RETRY_DELAY_S=0, MAX_RETRY_DELAY_S=0):
            revision = asyncio.run(write())
        assert store.history[revision - 1].value == b"mine"
    except (StoreConflictError, WriteRefusedError):
        store.apply_delayed_writes(calls=10)
        assert b"mine" not in [value.value for value in store.history]
    assert [value.value for value in store.history].count(b"mine") <= 1


def test_outcome_is_unknown_while_reads_fail():
    """Guards against an endless loop, and "not written" without a successful read."""
    store = FaultyStore(["unanswered", *["lost"] * 10_000])

    async def write():
        before = record_writer.CurrentRecord(KEY, None, 0, 0)
        await RecordWriter(store, timeout_ms=50).write(b"mine", before)

    with pytest.raises(OutcomeUnknownError):
        asyncio.run(write())
