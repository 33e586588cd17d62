"""Records of several eras: the store is restored from copies while logs exchange them.

The model is written from docs/design/store-eras.md: records are ordered by the era of
the store first, and a log is a plain copy of the store at its position.
"""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.feed.model_store import ModelStore, StoreCopy
from verbenacross.feed import record_log
from verbenacross.feed.codec import decode_message
from verbenacross.feed.exceptions import FeedError
from verbenacross.feed.messages import Update
from verbenacross.feed.publisher import Publisher
from verbenacross.feed.record_log import TOMBSTONE_LIFETIME_S, RecordLog
from verbenacross.infrastructure.exceptions import HistoryLostError
from verbenacross.infrastructure.key_value_store import (
    NO_POSITION,
    StoredValue,
    StorePosition,
)

KEYS = st.sampled_from(["a", "b", "c"])
LOG_COUNT = 3
LOGS = st.integers(0, LOG_COUNT - 1)
LAGS = st.integers(0, 5)
MAX_EVENTS_LATE = 4


def get_content(log: RecordLog) -> dict[str, StoredValue]:
    records, is_complete = log.get_records_since(NO_POSITION)
    assert is_complete
    return {record.key: record for record in records}


def build_publisher(log: RecordLog) -> Publisher:
    return Publisher(log, lambda: True)


class Sender:
    """A source's side of a subscription: remembers what it has sent."""

    def __init__(self, publisher: Publisher, subscriber: RecordLog) -> None:
        self.publisher = publisher
        self.position = subscriber.position
        self.subscriber = subscriber

    def send(self) -> None:
        frame, self.position = self.publisher._encode_update(self.position)
        update = decode_message(frame)
        assert isinstance(update, Update)
        if update.era < self.subscriber.position.era:
            return
        self.subscriber.merge(
            update.records, update.position, "peer", is_complete=update.is_complete
        )


class EraMachine(RuleBasedStateMachine):
    """A store with copies, logs that read it, and subscriptions between the logs.

    Values are unique, and ``contents`` holds the store's content at each position, so
    a record of another era is recognized by its value.
    """

    def __init__(self) -> None:
        super().__init__()
        self.store = ModelStore()
        self.written = 0
        # The longest history of each era, from which late responses are taken.
        self.histories: dict[int, tuple[StoredValue, ...]] = {}
        self.contents: dict[StorePosition, dict[str, StoredValue]] = {}
        self.positions = [NO_POSITION] * LOG_COUNT
        self.replicas: dict[int, dict[str, bytes | None]] = {}
        self.logs = [self.build_log(index) for index in range(LOG_COUNT)]
        # Subscribers of a log share its publisher, which keeps encoded updates.
        self.publishers = [build_publisher(log) for log in self.logs]
        self.senders: dict[tuple[int, int], Sender] = {}
        self.write([("a", False)])

    def build_log(self, index: int) -> RecordLog:
        log = RecordLog()
        emitted: dict[str, StorePosition] = {}
        # What a consumer of the batches knows.
        replica: dict[str, bytes | None] = {}

        def check_batch(batch) -> None:
            assert batch.era == log.position.era
            for record in batch.records:
                position = StorePosition(batch.era, record.revision)
                assert position > emitted.get(record.key, NO_POSITION)
                emitted[record.key] = position
                replica[record.key] = record.value

        log.batches.subscribe(check_batch)
        self.positions[index] = NO_POSITION
        self.replicas[index] = replica
        return log

    def record_content(self) -> None:
        position = StorePosition(self.store.era, self.store.revision)
        self.contents[position] = self.store.get_content()
        self.histories[self.store.era] = tuple(self.store.history)

    @rule(writes=st.lists(st.tuples(KEYS, st.booleans()), min_size=1, max_size=3))
    def write(self, writes):
        for key, deletes in writes:
            exists = key in self.store.get_content()
            self.written += 1
            value = None if deletes and exists else str(self.written).encode()
            self.store.write(key, value)
            self.record_content()

    @rule(losses=st.lists(st.integers(0, 4), min_size=1, max_size=3))
    def restore(self, losses):
        """Restores copies of the current era that lack some revisions, in a row."""
        for lost in losses:
            kept = max(1, self.store.revision - lost)
            saved = StoreCopy(tuple(self.store.history[:kept]), 0)
            self.store.restore(saved)
            self.record_content()

    @rule(age=st.integers(1, 3), lost=st.integers(0, 2))
    def restore_from_earlier_era(self, age, lost):
        """Restores a copy that was made before another one was restored."""
        history = self.histories[max(1, self.store.era - age)]
        saved = StoreCopy(history[: max(1, len(history) - lost)], 0)
        self.store.restore(saved)
        self.record_content()

    @rule()
    def compact(self):
        self.store.compact()

    @rule(index=LOGS)
    def read(self, index):
        snapshot = self.store.read()
        log = self.logs[index]
        log.merge(snapshot.values, snapshot.position, "store", is_complete=True)
        assert log.position == snapshot.position
        assert get_content(log) == self.store.get_content()

    @rule(index=LOGS)
    def watch(self, index):
        log = self.logs[index]
        if log.position == NO_POSITION:
            return
        try:
            snapshot = self.store.watch(log.revision)
        except HistoryLostError:
            return
        if snapshot.era > log.position.era:
            # The store has the revision again, but the changes are of a later era.
            before = get_content(log), log.position
            with pytest.raises(FeedError):
                log.merge(
                    snapshot.values, snapshot.position, "store", is_complete=False
                )
            assert (get_content(log), log.position) == before
            return
        log.merge(snapshot.values, snapshot.position, "store", is_complete=False)
        assert get_content(log) == self.store.get_content()

    @rule(index=LOGS)
    def watch_from_behind(self, index):
        """Repeats changes of the same era that the log already has."""
        log = self.logs[index]
        if log.position.era != self.store.era:
            return
        since = max(self.store.compacted, log.revision - MAX_EVENTS_LATE)
        if since > log.revision:
            return
        snapshot = self.store.watch(since)
        log.merge(snapshot.values, snapshot.position, "store", is_complete=False)
        assert get_content(log) == self.store.get_content()

    @rule(index=LOGS, age=st.integers(0, 2), lag=LAGS)
    def deliver_late_read(self, index, age, lag):
        """Delivers all records as of an earlier revision, possibly of another era."""
        era = max(1, self.store.era - age)
        positions = sorted(p for p in self.contents if p.era == era)
        position = positions[max(0, len(positions) - 1 - lag)]
        log = self.logs[index]
        before = get_content(log), log.position
        records = self.contents[position].values()
        log.merge(records, position, "store", is_complete=True)
        if position <= before[1]:
            assert (get_content(log), log.position) == before

    @rule(index=LOGS, age=st.integers(0, 2), since=LAGS, length=LAGS)
    def deliver_late_changes(self, index, age, since, length):
        """Delivers changes of the log's era or of an earlier one."""
        log = self.logs[index]
        era = max(1, self.store.era - age)
        if era > log.position.era:
            return
        history = self.histories[era]
        start = len(history) - since
        if era == log.position.era:
            # A reader does not continue from a position that it has not reached.
            start = min(start, log.revision)
        start = max(1, start)
        end = min(len(history), start + length)
        if end not in {p.revision for p in self.contents if p.era == era}:
            return
        before = get_content(log), log.position
        position = StorePosition(era, end)
        log.merge(history[start:end], position, "store", is_complete=False)
        if position <= before[1]:
            assert (get_content(log), log.position) == before

    @rule(source=LOGS, subscriber=LOGS, lag=LAGS)
    def exchange(self, source, subscriber, lag):
        """Sends records from one log to another, whichever era they are of."""
        sender, receiver = self.logs[source], self.logs[subscriber]
        if sender is receiver or sender.position == NO_POSITION:
            return
        era, revision = receiver.position
        since = StorePosition(era, max(0, revision - lag))
        records, is_complete = sender.get_records_since(since)
        before = get_content(receiver), receiver.position
        receiver.merge(records, sender.position, "peer", is_complete=is_complete)
        if sender.position < before[1]:
            assert (get_content(receiver), receiver.position) == before
        else:
            assert receiver.position == sender.position
            assert get_content(receiver) == get_content(sender)

    @rule(source=LOGS, subscriber=LOGS, count=st.integers(1, 2))
    def publish(self, source, subscriber, count):
        """Sends what a subscriber lacks, as the source's publisher remembers it."""
        sender, receiver = self.logs[source], self.logs[subscriber]
        if sender is receiver or sender.position == NO_POSITION:
            return
        pair = source, subscriber
        if pair not in self.senders:
            self.senders[pair] = Sender(self.publishers[source], receiver)
        before = get_content(receiver), receiver.position
        for _ in range(count):
            self.senders[pair].send()
        if sender.position < before[1]:
            assert (get_content(receiver), receiver.position) == before
        else:
            assert receiver.position == sender.position
            assert get_content(receiver) == get_content(sender)

    @rule(index=LOGS)
    def restart(self, index):
        self.logs[index] = self.build_log(index)
        self.publishers[index] = build_publisher(self.logs[index])
        self.senders = {
            pair: sender for pair, sender in self.senders.items() if index not in pair
        }

    @invariant()
    def logs_are_the_store_at_their_positions(self):
        for log in self.logs:
            if log.position == NO_POSITION:
                assert get_content(log) == {}
                continue
            expected = self.contents[log.position]
            content = get_content(log)
            assert {k: r.value for k, r in content.items()} == {
                k: r.value for k, r in expected.items()
            }
            for key, record in content.items():
                assert record == expected[key]
                assert log.get_revision(key) == record.revision

    @invariant()
    def consumers_of_the_batches_know_the_same(self):
        for index, log in enumerate(self.logs):
            replica = self.replicas[index]
            known = {k: value for k, value in replica.items() if value is not None}
            assert known == {k: r.value for k, r in get_content(log).items()}

    @invariant()
    def positions_never_go_back(self):
        for index, log in enumerate(self.logs):
            assert log.position >= self.positions[index]
            self.positions[index] = log.position


EraMachine.TestCase.settings = settings(
    max_examples=400, stateful_step_count=40, deadline=None
)
test_eras = EraMachine.TestCase


def test_records_newer_than_their_page_survive_the_return():
    """Guards against a value that is lost because it is newer than the read.

    Pages are not a snapshot: a value may be later than the revision of the read.
    """
    log = RecordLog()
    log.merge(
        [StoredValue("a", b"old", 7), StoredValue("b", b"old", 9)],
        StorePosition(1, 9),
        "store",
        is_complete=True,
    )
    log.merge(
        [StoredValue("a", b"new", 6)], StorePosition(2, 5), "store", is_complete=True
    )
    assert get_content(log) == {"a": StoredValue("a", b"new", 6)}

    log.merge(
        [StoredValue("a", b"new", 6)], StorePosition(2, 6), "store", is_complete=False
    )

    assert log.position == StorePosition(2, 6)
    assert get_content(log) == {"a": StoredValue("a", b"new", 6)}


def test_changes_of_a_later_era_are_refused():
    """Guards against records of two eras in one log."""
    log = RecordLog()
    log.merge(
        [StoredValue("a", b"old", 3)], StorePosition(1, 3), "store", is_complete=True
    )

    with pytest.raises(FeedError):
        log.merge(
            [StoredValue("b", b"new", 4)],
            StorePosition(2, 4),
            "peer",
            is_complete=False,
        )

    assert log.position == StorePosition(1, 3)
    assert get_content(log) == {"a": StoredValue("a", b"old", 3)}


@pytest.mark.parametrize("returns", [1, 2, 5])
def test_subscriber_cut_off_over_several_eras_receives_all_records(returns):
    """Guards against changes that are counted from a revision of another era.

    The store has passed the old revision again, so that nothing but the era shows it.
    """
    store = ModelStore()
    for key in "abc":
        store.write(key, b"old")
    saved = store.copy()
    store.write("d", b"lost")
    source, subscriber = RecordLog(), RecordLog()
    store.synchronize(source)
    sender = Sender(build_publisher(source), subscriber)
    sender.send()
    assert get_content(subscriber) == store.get_content()

    for _ in range(returns):
        store.restore(saved)
        store.write("a", None)
        for _ in range(3):
            store.write("b", b"new")
    store.synchronize(source)
    sender.send()

    assert subscriber.position == source.position
    assert get_content(subscriber) == store.get_content()


def test_source_of_an_earlier_era_sends_nothing_that_is_used():
    """Guards against a source that stands still and brings back old records."""
    old_source, subscriber = RecordLog(), RecordLog()
    old_source.merge(
        [StoredValue("a", b"old", 9)], StorePosition(1, 9), "store", is_complete=True
    )
    subscriber.merge(
        [StoredValue("b", b"new", 2)], StorePosition(2, 2), "store", is_complete=True
    )
    sender = Sender(build_publisher(old_source), subscriber)

    sender.send()
    assert sender.position == subscriber.position
    assert get_content(subscriber) == {"b": StoredValue("b", b"new", 2)}

    # The source learns of the next era directly.
    old_source.merge(
        [StoredValue("c", b"newest", 1)],
        StorePosition(3, 1),
        "store",
        is_complete=True,
    )
    sender.send()
    assert get_content(subscriber) == {"c": StoredValue("c", b"newest", 1)}


def test_deletions_of_an_earlier_era_do_not_expire_records_of_the_next(monkeypatch):
    """Guards against a deletion's lifetime that ends after the key exists again."""
    now = [1_000.0]
    clock = SimpleNamespace(monotonic=lambda: now[0])
    monkeypatch.setattr(record_log, "time", clock)
    store = ModelStore()
    store.write("a", b"v")
    store.write("b", b"v")
    saved = store.copy()
    log, subscriber = RecordLog(), RecordLog()
    store.write("lost", b"v")
    store.synchronize(log)
    store.write("a", None)
    store.write("lost", None)
    store.synchronize(log)
    store.restore(saved)
    store.write("other", b"v")
    # At the revision of its deletion before.
    store.write("a", b"v")
    store.synchronize(log)
    subscriber.merge(
        log.get_records_since(NO_POSITION)[0], log.position, "peer", is_complete=True
    )

    now[0] += TOMBSTONE_LIFETIME_S + 1.0
    store.write("b", None)
    store.synchronize(log)

    assert get_content(log) == store.get_content()
    records, is_complete = log.get_records_since(subscriber.position)
    subscriber.merge(records, log.position, "peer", is_complete=is_complete)
    assert get_content(subscriber) == store.get_content()


def test_frames_of_an_earlier_era_are_not_sent_again():
    """Guards against a cached update of equal revisions but another era."""
    store = ModelStore()
    store.write("a", b"v")
    saved = store.copy()
    source, first, second = RecordLog(), RecordLog(), RecordLog()
    store.synchronize(source)
    publisher = build_publisher(source)
    for subscriber in (first, second):
        Sender(publisher, subscriber).send()
    store.write("b", b"lost")
    store.synchronize(source)
    Sender(publisher, first).send()
    store.restore(saved)
    store.write("b", b"new")
    store.synchronize(source)
    for subscriber in (first, second):
        Sender(publisher, subscriber).send()
        assert get_content(subscriber) == store.get_content()
