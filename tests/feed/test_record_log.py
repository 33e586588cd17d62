"""Merging of records from several sources: duplicated, late and out of order."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from verbenacross.feed.record_log import RecordLog
from verbenacross.infrastructure.key_value_store import StoredValue

KEYS = st.sampled_from(["a", "b", "c"])


class RecordLogMachine(RuleBasedStateMachine):
    """A store, a log that reads it incrementally, and a subscriber of that log."""

    def __init__(self) -> None:
        super().__init__()
        self.history: list[StoredValue] = []
        self.log = RecordLog()
        self.subscriber = RecordLog()
        self.emitted: dict[str, int] = {}
        self.subscriber.batches.subscribe(self.check_batch)

    def check_batch(self, batch):
        for record in batch.records:
            assert record.revision > self.emitted.get(record.key, 0)
            self.emitted[record.key] = record.revision

    def get_state(self, revision):
        state = {}
        for record in self.history[:revision]:
            state[record.key] = record
        return {key: r for key, r in state.items() if r.value is not None}

    @rule(key=KEYS, deletes=st.booleans())
    def write(self, key, deletes):
        exists = key in self.get_state(len(self.history))
        value = None if deletes and exists else b"v"
        self.history.append(StoredValue(key, value, len(self.history) + 1))

    @rule()
    def read_all(self):
        revision = len(self.history)
        state = self.get_state(revision)
        self.log.merge(state.values(), revision, "store", is_complete=True)

    @rule(lag=st.integers(0, 5))
    def read_all_late(self, lag):
        """Delivers an old snapshot after newer changes."""
        revision = max(0, len(self.history) - lag)
        if revision == 0:
            return
        state = self.get_state(revision)
        self.log.merge(state.values(), revision, "store", is_complete=True)

    @rule()
    def watch(self):
        events = self.history[self.log.revision :]
        if self.log.revision:
            revision = len(self.history)
            self.log.merge(events, revision, "store", is_complete=False)

    @rule(lag=st.integers(0, 5))
    def publish(self, lag):
        if not self.log.revision:
            return
        since = max(0, self.subscriber.revision - lag)
        records, is_complete = self.log.get_records_since(since)
        self.subscriber.merge(
            records, self.log.revision, "peer", is_complete=is_complete
        )

    @invariant()
    def log_is_the_store_at_its_revision(self):
        records, _ = self.log.get_records_since(0)
        assert {r.key: r for r in records} == self.get_state(self.log.revision)

    @invariant()
    def subscriber_is_the_store_at_its_revision(self):
        records, _ = self.subscriber.get_records_since(0)
        expected = self.get_state(self.subscriber.revision)
        assert {r.key: r.value for r in records} == {
            key: record.value for key, record in expected.items()
        }


RecordLogMachine.TestCase.settings = settings(max_examples=150, deadline=None)
test_record_log = RecordLogMachine.TestCase
