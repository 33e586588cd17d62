"""Tests the store reader against an in-memory store with fault injection."""

import asyncio
import json

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from verbenacross.agent.store_reader import MAX_BACKOFF_S, StoreReader, draw_backoff_s
from verbenacross.infrastructure.exceptions import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from verbenacross.infrastructure.key_value_store import StoredValue, StoreSnapshot
from verbenacross.policy import PolicyTable, TableProgress

KEYS = [f"policies/cuepublish/{version}" for version in (1, 2)]


class FaultyStore:
    """In-memory store; ``fault`` applies to the next call only."""

    def __init__(self):
        self.revision = 0
        self.entries = {}
        self.events = []
        self.oldest_revision = 0
        self.history = [(0, {})]
        self.fault = None

    def write(self, key, value):
        self.revision += 1
        self.entries.pop(key, None)
        if value is not None:
            self.entries[key] = StoredValue(key, value, self.revision)
        self.events.append(StoredValue(key, value, self.revision))
        self.history.append((self.revision, dict(self.entries)))
        return self.revision

    def restore_backup(self, steps):
        """Restores an earlier state, as from a backup; later writes are lost."""
        self.history = self.history[: max(1, len(self.history) - steps)]
        self.revision, entries = self.history[-1]
        self.entries = dict(entries)
        self.events = []
        self.oldest_revision = self.revision

    def consume_fault(self):
        fault, self.fault = self.fault, None
        if fault == "down":
            raise StoreUnavailableError("down")
        return fault

    async def get(self, key):
        self.consume_fault()
        return self.entries.get(key)

    async def read_prefix(self, prefix):
        index = -3 if self.consume_fault() == "stale" else -1
        revision, entries = self.history[max(index, -len(self.history))]
        values = [value for key, value in entries.items() if key.startswith(prefix)]
        return StoreSnapshot(revision, tuple(values))

    async def watch(self, prefix, revision, wait_ms):
        fault = self.consume_fault()
        if revision > self.revision or revision < self.oldest_revision:
            raise StoreError("gone")
        if fault == "stale":
            revision = max(self.oldest_revision, revision - 3)
        events = [each for each in self.events if each.revision > revision]
        shown = tuple(each for each in events if each.key.startswith(prefix))
        return StoreSnapshot(self.revision, shown)

    async def put(self, key, value, expected, lease=None):
        fault = self.consume_fault()
        current = self.entries[key].revision if key in self.entries else 0
        if current != expected:
            raise StoreConflictError(key, expected, current)
        revision = self.write(key, value)
        if fault == "lost":
            raise StoreUnavailableError("the response was lost")
        return revision


def build_body(key, content):
    if content == "invalid":
        return b"{}"
    version = int(key.rpartition("/")[2])
    policy = {"schema_version": 1, "service": "cuepublish", "version": version}
    return json.dumps({**policy, "state": content}).encode()


class ReaderMachine(RuleBasedStateMachine):
    """Operators write, the store fails, and one reader follows or is restarted."""

    def __init__(self):
        super().__init__()
        self.store = FaultyStore()
        self.has_lost_writes = False
        self.lost_keys = set()
        self.is_saved = False
        self.start()

    def start(self):
        self.progress = TableProgress(PolicyTable())
        self.table = self.progress.table
        self.reader = StoreReader(
            self.store, self.progress, self.progress.advance_to, lambda: True
        )
        self.known_ranks = {}
        self.watermark = 0

    def call(self, action):
        async def run():
            try:
                await action()
            except StoreError:
                return False
            return True

        return asyncio.run(run())

    @rule(
        key=strategies.sampled_from(KEYS),
        content=strategies.sampled_from(["active", "active", "retired", "invalid"]),
    )
    def write(self, key, content):
        self.store.write(key, build_body(key, content))
        self.lost_keys.discard(key)
        self.is_saved = False

    @rule(key=strategies.sampled_from(KEYS))
    def delete(self, key):
        if key in self.store.entries:
            self.store.write(key, None)
            self.is_saved = False

    @rule(fault=strategies.sampled_from(["down", "stale", "lost"]))
    def fail_next_call(self, fault):
        self.store.fault = fault

    @rule()
    def drop_old_events(self):
        self.store.oldest_revision = self.store.revision
        self.store.events = []

    @rule(steps=strategies.integers(1, 4))
    def lose_writes(self, steps):
        self.store.restore_backup(steps)
        self.has_lost_writes = True
        self.store.fault = None
        states = {key: policy.state for key, policy in self.table.policies.items()}
        # The first read below a known revision is rejected as a possible late response.
        if not self.call(self.reader._read_all):
            assert self.call(self.reader._read_all)
        self.is_saved = True
        # A deletion that is part of the restored state may take effect at this read.
        self.lost_keys = {
            key
            for key, state in states.items()
            if state == "active"
            and key not in self.store.entries
            and self.table.valid[key].revision > self.store.revision
        }
        self.assert_lost_records_kept()

    @rule()
    def watch(self):
        self.call(self.reader._watch_once)

    @rule()
    def read(self):
        self.call(self.reader._read_all)

    @rule()
    def read_without_fault(self):
        self.store.fault = None
        revision = self.store.revision
        if not self.call(self.reader._read_all):
            assert self.call(self.reader._read_all)
        self.is_saved = True
        assert self.progress.watermark >= revision
        for key in KEYS:
            self.assert_in_force(key)

        self.assert_lost_records_kept()

    def assert_lost_records_kept(self):
        for key in self.lost_keys:
            assert self.table.policies[key].state == "active"

    def assert_in_force(self, key):
        entry = self.store.entries.get(key)
        policy = self.table.policies.get(key)
        if entry is None and policy is not None and not self.has_lost_writes:
            assert policy.state == "retired"
        if entry is None or entry.value == b"{}":
            return
        valid = self.table.valid[key]
        if policy.state == "active" or b"retired" not in valid.body:
            assert valid.revision >= entry.revision
        assert b"retired" not in entry.value or policy.state == "retired"

    @precondition(lambda self: self.is_saved)
    @rule()
    def restart_every_instance(self):
        before = dict(self.table._ranks)
        self.start()
        self.store.fault = None
        assert self.call(self.reader._read_all)
        assert self.progress.lost_after is None
        for key, rank in before.items():
            assert self.table._ranks[key] >= rank, key
        self.assert_lost_records_kept()

    @invariant()
    def nothing_in_force_reverts(self):
        for key, rank in self.known_ranks.items():
            assert self.table._ranks[key] >= rank, key
        self.known_ranks = dict(self.table._ranks)
        assert self.progress.watermark >= self.watermark
        self.watermark = self.progress.watermark


ReaderMachine.TestCase.settings = settings(
    max_examples=120, stateful_step_count=25, deadline=None, derandomize=True
)
TestReader = ReaderMachine.TestCase


def test_backoff_spreads_the_readers():
    """Backoff must spread the readers, or all return at once after a store outage."""
    delays = [draw_backoff_s(10) for _ in range(400)]
    assert max(delays) <= MAX_BACKOFF_S
    slices = [
        sum(low / 4 <= delay / MAX_BACKOFF_S < (low + 1) / 4 for delay in delays)
        for low in range(4)
    ]
    assert min(slices) > 50
    assert max(draw_backoff_s(1) for _ in range(100)) <= 0.4


def run_reads(machine, *steps):
    for step in steps:
        step()
        machine.read_without_fault()
        machine.nothing_in_force_reverts()


def test_deletion_that_nobody_watched_retires_the_record():
    """A deletion must apply even if the store dropped its event before it was read."""
    machine = ReaderMachine()
    run_reads(
        machine,
        lambda: machine.write(KEYS[0], "active"),
        lambda: machine.delete(KEYS[0]),
    )
    assert machine.table.policies[KEYS[0]].state == "retired"


def test_record_that_the_store_lost_stays_in_force():
    """A record missing from a restored store must stay in force.

    That includes the time after new writes have raised the store's revision.
    """
    machine = ReaderMachine()
    run_reads(
        machine,
        lambda: machine.write(KEYS[0], "active"),
        lambda: machine.lose_writes(1),
        lambda: [machine.write(KEYS[1], "active") for _ in range(4)],
        machine.restart_every_instance,
    )
    assert machine.table.policies[KEYS[0]].state == "active"


def test_late_answer_is_not_taken_for_a_loss():
    """A single stale read must not be reported as a store that lost writes."""
    machine = ReaderMachine()
    run_reads(machine, lambda: machine.write(KEYS[0], "active"))
    history = machine.store.history
    machine.store.history = history[:-1]
    assert not machine.call(machine.reader._read_all)
    machine.store.history = history
    machine.read_without_fault()
    assert machine.progress.lost_after is None
