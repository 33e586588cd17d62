"""Outcomes of writes under lost, late and refused calls and a rival writer."""

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
    """One key; each call meets the next fault, and none after the last."""

    def __init__(self, faults):
        self.faults = list(faults)
        self.history = []
        self.late = []

    def swap(self, body, expected):
        current = self.history[-1].revision if self.history else 0
        if current != expected:
            raise StoreConflictError(KEY, expected, current)
        self.history.append(StoredValue(KEY, body, current + 1))
        return current + 1

    def land_late_writes(self, calls=1):
        """Applies the writes that arrive within the next calls."""
        waiting, self.late = self.late, []
        for calls_left, body, expected in waiting:
            if calls_left > calls:
                self.late.append((calls_left - calls, body, expected))
                continue
            with contextlib.suppress(StoreConflictError):
                self.swap(body, expected)

    def start_call(self):
        self.land_late_writes()
        fault = self.faults.pop(0) if self.faults else "ok"
        if fault == "rival":
            body = b"rival %d" % len(self.history)
            self.swap(body, self.history[-1].revision if self.history else 0)
        return fault

    async def put(self, key, body, expected, lease=None):
        fault = self.start_call()
        if fault == "refused":
            raise StoreError("status 413")
        if fault == "lost":
            raise StoreUnavailableError("lost before the write")
        if fault.startswith("late"):
            self.late.append((3 if fault == "late-3" else 1, body, expected))
            raise StoreUnavailableError("timed out, still on its way")
        revision = self.swap(body, expected)
        if fault == "unanswered":
            raise StoreUnavailableError("lost after the write")
        return self.swap(body, expected) if fault == "twice" else revision

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
    """Guards against a wrong verdict on a write, above all a false "not written"."""
    store = FaultyStore([])
    if exists:
        store.swap(b"old", 0)
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
        store.land_late_writes(calls=10)
        assert b"mine" not in [value.value for value in store.history]
    assert [value.value for value in store.history].count(b"mine") <= 1


def test_outcome_is_unknown_while_reads_fail():
    """Guards against an endless loop and against "not written" without a read."""
    store = FaultyStore(["unanswered", *["lost"] * 10_000])

    async def write():
        before = record_writer.CurrentRecord(KEY, None, 0, 0)
        await RecordWriter(store, timeout_ms=50).write(b"mine", before)

    with pytest.raises(OutcomeUnknownError):
        asyncio.run(write())
