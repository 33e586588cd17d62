"""Merging of records from several sources: duplicated, late and out of order."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from verbenacross.feed.record_log import RecordLog
from verbenacross.infrastructure.key_value_store import (
    NO_POSITION,
    StoredValue,
    StorePosition,
)

KEYS = st.sampled_from(["a", "b", "c"])


LOGS = st.sampled_from([0, 1])


class RecordLogMachine(RuleBasedStateMachine):
    """A store, two logs that read it, and a subscriber of either of them.

    The logs also receive each other's records, and each may start over.
    """

    def __init__(self) -> None:
        super().__init__()
        self.history: list[StoredValue] = []
        self.logs = [RecordLog(), RecordLog()]
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

    @rule(index=LOGS)
    def read_all(self, index):
        revision = len(self.history)
        state = self.get_state(revision)
        self.logs[index].merge(
            state.values(), StorePosition(0, revision), "store", is_complete=True
        )

    @rule(index=LOGS, lag=st.integers(0, 5))
    def read_all_late(self, index, lag):
        """Delivers an old snapshot after newer changes."""
        revision = max(0, len(self.history) - lag)
        if revision == 0:
            return
        state = self.get_state(revision)
        self.logs[index].merge(
            state.values(), StorePosition(0, revision), "store", is_complete=True
        )

    @rule(index=LOGS)
    def restart(self, index):
        self.logs[index] = RecordLog()

    @rule(index=LOGS)
    def watch(self, index):
        log = self.logs[index]
        events = self.history[log.revision :]
        if log.revision:
            revision = len(self.history)
            log.merge(events, StorePosition(0, revision), "store", is_complete=False)

    @rule(index=LOGS, lag=st.integers(0, 5))
    def publish(self, index, lag):
        self.send_records(self.logs[index], self.subscriber, lag)

    @rule(index=LOGS, lag=st.integers(0, 5))
    def exchange(self, index, lag):
        self.send_records(self.logs[index], self.logs[1 - index], lag)

    @staticmethod
    def send_records(source, target, lag):
        if not source.revision:
            return
        since = StorePosition(0, max(0, target.revision - lag))
        records, is_complete = source.get_records_since(since)
        target.merge(records, source.position, "peer", is_complete=is_complete)

    @invariant()
    def logs_are_the_store_at_their_revisions(self):
        for log in self.logs:
            records, _ = log.get_records_since(NO_POSITION)
            assert {r.key: r for r in records} == self.get_state(log.revision)

    @invariant()
    def subscriber_is_the_store_at_its_revision(self):
        records, _ = self.subscriber.get_records_since(NO_POSITION)
        expected = self.get_state(self.subscriber.revision)
        assert {r.key: r.value for r in records} == {
            key: record.value for key, record in expected.items()
        }


RecordLogMachine.TestCase.settings = settings(max_examples=150, deadline=None)
test_record_log = RecordLogMachine.TestCase


def test_source_that_started_later_passes_on_earlier_deletions():
    """Guards against upstreams that stay in use although they left.

    An instance misses a deletion, then subscribes to one that has started since and
    has read all records without the deleted one.
    """
    subscriber, source = RecordLog(), RecordLog()
    records = [StoredValue("left", b"v", 1), StoredValue("stays", b"v", 2)]
    subscriber.merge(records, StorePosition(0, 2), "store", is_complete=True)
    # The record "left" was deleted at revision 3.
    source.merge(
        [records[1], StoredValue("new", b"v", 4)],
        StorePosition(0, 4),
        "store",
        is_complete=True,
    )

    changes, is_complete = source.get_records_since(subscriber.position)
    subscriber.merge(changes, source.position, "peer", is_complete=is_complete)

    assert subscriber.get_revision("left") == 0
    assert subscriber.get_revision("stays") == 2
    assert subscriber.get_revision("new") == 4


def test_deletions_before_a_complete_read_are_passed_on_over_two_instances():
    """Guards against a deletion that is lost between an instance and its subscriber.

    The source read all records again, so it never learned of a record that was written
    and deleted in between. An instance that has that record subscribes to one that
    received only changes from the source.
    """
    source, relay, late = RecordLog(), RecordLog(), RecordLog()
    stays = StoredValue("stays", b"v", 1)
    for log in (source, relay, late):
        log.merge([stays], StorePosition(0, 1), "store", is_complete=True)
    late.merge(
        [StoredValue("left", b"v", 2)], StorePosition(0, 2), "store", is_complete=False
    )
    # The record "left" was deleted at revision 3, and the store lost its history.
    source.merge([stays], StorePosition(0, 3), "store", is_complete=True)

    for sender, receiver in ((source, relay), (relay, late)):
        records, is_complete = sender.get_records_since(receiver.position)
        receiver.merge(records, sender.position, "peer", is_complete=is_complete)

    assert late.get_revision("left") == 0
    assert late.get_revision("stays") == 1
