"""What a node believes after the store was restored from a copy.

Records pass through the log into the discovery state as in a node, on virtual time.
"""

from __future__ import annotations

import asyncio
import json

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from measure.virtual_loop import VirtualLoop, run_in_virtual_time
from tests.feed.model_store import ModelStore, StoreCopy
from verbenacross.balancing.upstream import UpstreamReport
from verbenacross.feed import record_log
from verbenacross.feed.members import Member
from verbenacross.feed.record_log import RecordLog
from verbenacross.infrastructure.key_value_store import NO_POSITION, StoredValue
from verbenacross.node import upstream_entries
from verbenacross.node.carried_over import CARRY_OVER_S, RecordKind
from verbenacross.node.discovery_state import DiscoveryState
from verbenacross.platform.records import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    NODE_PREFIX,
    SERVER_PREFIX,
    decode_change,
)
from verbenacross.platform.server_entries import decode_server

STEP_S = 0.2
# Stated times, in seconds, from the moment at which an instance notices a return.
CONFIGURATION_CARRY_OVER_S = CARRY_OVER_S[RecordKind.CONFIGURATION]
EVACUATION_CARRY_OVER_S = CARRY_OVER_S[RecordKind.EVACUATION]
UPSTREAM_CARRY_OVER_S = CARRY_OVER_S[RecordKind.UPSTREAM]
MEMBER_CARRY_OVER_S = CARRY_OVER_S[RecordKind.MEMBER]
MIN_REREGISTRATION_S = 2.0
REREGISTRATION_S = 2.2
# Living upstreams write again within this time of a return, and at each heartbeat.
REWRITE_S = 1.8
HEARTBEAT_S = 1.5
ENTRY_LIFETIME_S = 3 * HEARTBEAT_S
# After this time without a cut, an instance has received what upstreams wrote again.
SETTLING_S = 3.0
TOLERANCE_S = 0.01
CLOCK_STEP_S = 1e-9
NO_REPORT = UpstreamReport(-1, -1)
UPSTREAMS = ("u", "v")
NAMES = st.sampled_from(UPSTREAMS)
DOMAIN_NAMES = ("a", "b")
DOMAINS = st.sampled_from(DOMAIN_NAMES)
MEMBERS = st.sampled_from(["node-1", "node-2"])


class VirtualTime:
    """Takes the place of the ``time`` module; its clock advances between two calls."""

    def __init__(self) -> None:
        self.calls = 0

    def monotonic(self) -> float:
        self.calls += 1
        return asyncio.get_running_loop().time() + self.calls * CLOCK_STEP_S


@pytest.fixture(autouse=True)
def virtual_time(monkeypatch):
    clock = VirtualTime()
    for module in (upstream_entries, record_log):
        monkeypatch.setattr(module, "time", clock)


def build_configuration(version: int) -> bytes:
    document = {
        "version": version,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout": "3s",
            "idle_timeout": "15s",
        },
        "listeners": [],
        "clusters": [],
    }
    return json.dumps(document).encode()


def build_server(born: int, sequence: int, state: str = "ready") -> bytes:
    document = {
        "address": "10.0.0.9:80",
        "born": born,
        "info": {
            "service": "one",
            "version": "v1",
            "zone": "a",
            "max_concurrency": 1,
        },
        "status": {"state": state, "sequence": sequence, "warmup_left": "0ms"},
    }
    return json.dumps(document).encode()


def build_member(name: str) -> bytes:
    return Member(name, "10.0.0.1:1", "a").to_data()


class Instance:
    """The log and the discovery state of a node."""

    def __init__(self, store: ModelStore) -> None:
        self.store = store
        self.log = RecordLog()
        self.state = DiscoveryState()
        self.log.batches.subscribe(self.apply_batch)

    def apply_batch(self, batch) -> None:
        self.state.begin_era(batch.era)
        for record in batch.records:
            change = decode_change(record)
            if change is not None:
                self.state.apply(change, batch.source, is_restored=batch.is_restored)

    def synchronize(self) -> tuple[StoredValue, ...]:
        return self.store.synchronize(self.log)

    def is_usable(self, identifier: str) -> bool:
        entry = self.state.entries.get(identifier)
        return (
            entry is not None
            and entry.upstream is not None
            and not entry.upstream.draining
        )

    def get_records(self) -> dict[str, StoredValue]:
        records, _ = self.log.get_records_since(NO_POSITION)
        return {record.key: record for record in records}


def build_site() -> tuple[ModelStore, Instance]:
    """A configuration, an upstream and an instance that knows them."""
    store = ModelStore()
    store.write(CONFIGURATION_KEY, build_configuration(1))
    store.write(SERVER_PREFIX + "u", build_server(1, 1))
    instance = Instance(store)
    instance.synchronize()
    return store, instance


def test_member_missing_from_two_copies_is_removed():
    """Guards against members that stay for ever after two returns.

    The log drops the deletion when the second era begins, and the second copy does not
    have the record, so nothing announces the deletion again.
    """

    async def play():
        store, instance = build_site()
        saved = store.copy()
        store.write(NODE_PREFIX + "node-1", build_member("node-1"))
        instance.synchronize()
        for _ in range(2):
            store.restore(saved)
            instance.synchronize()
            await asyncio.sleep(1.0)
            assert "node-1" in instance.state.members

        await asyncio.sleep(MEMBER_CARRY_OVER_S)

        assert instance.state.members == {}

    run_in_virtual_time(play())


def test_incomplete_entry_does_not_replace_the_last_report():
    """Guards against a copy that outweighs a report because of an incomplete entry."""

    async def play():
        store, instance = build_site()
        saved = store.copy()
        store.write(SERVER_PREFIX + "u", build_server(1, 2, "draining"))
        instance.synchronize()
        entry = json.loads(build_server(1, 3))
        del entry["born"], entry["status"]["sequence"]
        store.write(SERVER_PREFIX + "u", json.dumps(entry).encode())
        instance.synchronize()
        assert not instance.is_usable("u")

        store.restore(saved)
        instance.synchronize()

        assert not instance.is_usable("u")

    run_in_virtual_time(play())


def test_evacuation_missing_from_two_copies_ends():
    """Guards against an evacuation that stays for ever after two returns."""

    async def play():
        store, instance = build_site()
        saved = store.copy()
        store.write(EVACUATION_PREFIX + "a", b"")
        instance.synchronize()
        for _ in range(2):
            store.restore(saved)
            instance.synchronize()
            await asyncio.sleep(1.0)
            assert instance.state.evacuated_domains == {"a"}

        await asyncio.sleep(EVACUATION_CARRY_OVER_S)

        assert instance.state.evacuated_domains == set()

    run_in_virtual_time(play())


def test_evacuation_started_after_the_return_at_a_repeated_revision():
    """Guards against a start that is ignored because its revision was used before."""

    async def play():
        store, instance = build_site()
        saved = store.copy()
        first = store.write(EVACUATION_PREFIX + "a", b"")
        instance.synchronize()
        store.write(EVACUATION_PREFIX + "a", None)
        instance.synchronize()
        store.restore(saved)
        instance.synchronize()

        assert store.write(EVACUATION_PREFIX + "a", b"").revision == first.revision
        instance.synchronize()

        assert instance.state.evacuated_domains == {"a"}

    run_in_virtual_time(play())


def test_evacuation_started_before_the_return_is_noticed():
    """Guards against a start that is ignored because it is read with the copy."""

    async def play():
        store, instance = build_site()
        store.write(EVACUATION_PREFIX + "a", b"")
        store.write(EVACUATION_PREFIX + "a", None)
        instance.synchronize()
        store.write(EVACUATION_PREFIX + "a", b"")
        instance.synchronize()
        store.write(EVACUATION_PREFIX + "a", None)
        instance.synchronize()
        store.restore(store.copy())
        store.write(EVACUATION_PREFIX + "a", b"")
        instance.synchronize()

        assert instance.state.evacuated_domains == {"a"}

    run_in_virtual_time(play())


def test_ended_evacuation_of_an_earlier_copy_does_not_come_back():
    """Guards against an evacuation that starts again as a second copy still has it.

    The copy is older than the one of the return before it.
    """

    async def play():
        store, instance = build_site()
        without = store.copy()
        store.write(EVACUATION_PREFIX + "a", b"")
        instance.synchronize()
        with_evacuation = store.copy()
        store.restore(without)
        instance.synchronize()
        store.write("other", b"")
        store.write(EVACUATION_PREFIX + "a", b"")
        instance.synchronize()
        store.write(EVACUATION_PREFIX + "a", None)
        instance.synchronize()
        assert instance.state.evacuated_domains == set()

        store.restore(with_evacuation)
        instance.synchronize()

        assert instance.state.evacuated_domains == set()

    run_in_virtual_time(play())


def test_evacuation_started_and_ended_between_two_watches_ends():
    """Guards against an end that counts as part of the copy.

    The start and the end after the return arrive together, as one deletion.
    """

    async def play():
        store, instance = build_site()
        saved = store.copy()
        store.write(EVACUATION_PREFIX + "a", b"")
        instance.synchronize()
        store.restore(saved)
        instance.synchronize()
        assert instance.state.evacuated_domains == {"a"}
        store.write(EVACUATION_PREFIX + "a", b"")
        store.write(EVACUATION_PREFIX + "a", None)
        instance.synchronize()

        assert instance.state.evacuated_domains == set()

    run_in_virtual_time(play())


def test_evacuation_known_without_anything_else_is_carried_over():
    """Guards against records of the new era that are ignored for their revisions.

    The instance knows an evacuation, but no configuration, upstream or member yet.
    """

    async def play():
        store = ModelStore()
        saved = store.copy()
        for number in range(5):
            store.write(f"other-{number}", b"")
        store.write(EVACUATION_PREFIX + "a", b"")
        instance = Instance(store)
        instance.synchronize()
        store.restore(saved)
        store.write(EVACUATION_PREFIX + "a", b"")
        instance.synchronize()
        store.write(EVACUATION_PREFIX + "a", None)
        instance.synchronize()

        assert instance.state.evacuated_domains == set()

    run_in_virtual_time(play())


def test_upstream_seen_only_as_removed_is_not_used_again():
    """Guards against work for an upstream that left.

    The upstream registers and leaves between two watches, so the instance learns of the
    removal only. The copy was made in between.
    """

    async def play():
        store, instance = build_site()
        store.write(SERVER_PREFIX + "v", build_server(2, 1))
        saved = store.copy()
        store.write(SERVER_PREFIX + "v", None)
        instance.synchronize()
        store.restore(saved)
        instance.synchronize()

        assert not instance.is_usable("v")
        await asyncio.sleep(UPSTREAM_CARRY_OVER_S + STEP_S)
        assert instance.is_usable("v")

    run_in_virtual_time(play())


def test_member_known_without_anything_else_is_removed():
    """Guards against members that stay for ever while nothing is configured yet."""

    async def play():
        store = ModelStore()
        store.write("other", b"")
        saved = store.copy()
        store.write(NODE_PREFIX + "node-1", build_member("node-1"))
        instance = Instance(store)
        instance.synchronize()
        store.restore(saved)
        instance.synchronize()

        await asyncio.sleep(MEMBER_CARRY_OVER_S + STEP_S)

        assert instance.state.members == {}

    run_in_virtual_time(play())


@pytest.mark.parametrize("returns", [1, 2])
def test_records_that_nobody_writes_again_end_at_the_stated_times(returns):
    """Guards against beliefs that end too early, too late or not at all.

    The times run from the last return.
    """

    async def play():
        store, instance = build_site()
        upstream = SERVER_PREFIX + "u"
        store.write(SERVER_PREFIX + "gone", build_server(1, 4))
        store.write(EVACUATION_PREFIX + "b", b"")
        instance.synchronize()
        saved = store.copy()
        store.write(CONFIGURATION_KEY, build_configuration(2))
        store.write(EVACUATION_PREFIX + "a", b"")
        store.write(EVACUATION_PREFIX + "b", None)
        store.write(upstream, build_server(1, 2, "draining"))
        store.write(SERVER_PREFIX + "new", build_server(2, 1))
        store.write(SERVER_PREFIX + "gone", None)
        store.write(NODE_PREFIX + "node-1", build_member("node-1"))
        instance.synchronize()
        for _ in range(returns):
            store.restore(saved)
            instance.synchronize()
            start = asyncio.get_running_loop().time()
            await asyncio.sleep(1.0)
        state = instance.state

        async def wait_until(time_s: float) -> None:
            await asyncio.sleep(start + time_s - asyncio.get_running_loop().time())

        await wait_until(MIN_REREGISTRATION_S)
        assert instance.is_usable("new")
        await wait_until(REREGISTRATION_S + TOLERANCE_S)
        assert not instance.is_usable("new")
        await wait_until(UPSTREAM_CARRY_OVER_S - TOLERANCE_S)
        assert not instance.is_usable("u")
        assert not instance.is_usable("gone")
        assert "node-1" in state.members
        await wait_until(MEMBER_CARRY_OVER_S + TOLERANCE_S)
        assert instance.is_usable("u")
        assert instance.is_usable("gone")
        assert state.members == {}
        await wait_until(EVACUATION_CARRY_OVER_S - TOLERANCE_S)
        assert state.evacuated_domains == {"a"}
        await wait_until(EVACUATION_CARRY_OVER_S + TOLERANCE_S)
        assert state.evacuated_domains == {"b"}
        await wait_until(CONFIGURATION_CARRY_OVER_S - TOLERANCE_S)
        assert state.table.version == 2
        await wait_until(CONFIGURATION_CARRY_OVER_S + TOLERANCE_S)
        assert state.table.version == 1

    run_in_virtual_time(play())


class Upstream:
    """What an upstream says of itself; ``is_alive`` while its process runs."""

    def __init__(self) -> None:
        self.born = 0
        self.sequence = 0
        self.state = "ready"
        self.is_alive = False
        self.write_at = 0.0

    @property
    def report(self) -> UpstreamReport:
        return UpstreamReport(self.born, self.sequence)


class BeliefMachine(RuleBasedStateMachine):
    """An operator, upstreams, a store with copies, and an instance that may be cut off.

    After each step the instance is compared with what it has been sent and with what
    was written since the last return.
    """

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=VirtualLoop)
        self.loop = self.runner.get_loop()
        self.store = ModelStore()
        self.saved: list[StoreCopy] = []
        self.version = 0
        self.written = 0
        self.wanted_evacuations: set[str] = set()
        self.upstreams = {name: Upstream() for name in UPSTREAMS}
        # When the store removes the entry of an upstream that stays silent.
        self.expires_at: dict[str, float] = {}
        self.is_cut_off = False
        self.runner.run(self.begin())

    def teardown(self):
        try:
            self.runner.run(self.finish())
        finally:
            self.runner.close()

    async def begin(self) -> None:
        self.write_configuration_now()
        self.start_process("u")
        self.saved.append(self.store.copy())
        self.start_instance()

    def start_instance(self) -> None:
        """Starts an instance that knows only what the store holds."""
        self.instance = Instance(self.store)
        self.noticed_at = -float("inf")
        self.connected_at = self.now
        # What it believed and what it was sent so far.
        self.table_version = 0
        self.domains: set[str] = set()
        self.members: set[str] = set()
        self.usable: set[str] = set()
        self.seen_starts: set[bytes] = set()
        self.seen_revisions: set[tuple[str, int]] = set()
        self.reports: dict[str, UpstreamReport] = {}
        self.used: dict[str, UpstreamReport] = {}
        # Reports up to which an upstream is known to drain or to have left.
        self.ended: dict[str, UpstreamReport] = {}
        self.update()

    # What happens at the store.

    @property
    def now(self) -> float:
        return self.loop.time()

    def write(self, key: str, value: bytes | None) -> None:
        if value is not None or key in self.store.get_content():
            self.store.write(key, value)

    def write_configuration_now(self) -> None:
        self.version += 1
        self.write(CONFIGURATION_KEY, build_configuration(self.version))

    def start_process(self, name: str) -> None:
        upstream = self.upstreams[name]
        upstream.born = max(upstream.born + 1, round(1_000 * self.now))
        upstream.sequence, upstream.state, upstream.is_alive = 0, "ready", True
        self.report(name)

    def report(self, name: str) -> None:
        upstream = self.upstreams[name]
        upstream.sequence += 1
        upstream.write_at = self.now + HEARTBEAT_S
        self.expires_at[name] = self.now + ENTRY_LIFETIME_S
        value = build_server(upstream.born, upstream.sequence, upstream.state)
        self.write(SERVER_PREFIX + name, value)

    @rule()
    def write_configuration(self):
        self.write_configuration_now()
        self.run_step()

    @rule(domain=DOMAINS)
    def evacuate(self, domain):
        """Starts or ends an evacuation."""
        self.wanted_evacuations ^= {domain}
        self.write_evacuation(domain)
        self.run_step()

    def write_evacuation(self, domain: str) -> None:
        is_wanted = domain in self.wanted_evacuations
        # The value has no meaning for the instance; here it tells writes apart.
        self.written += 1
        value = str(self.written).encode() if is_wanted else None
        self.write(EVACUATION_PREFIX + domain, value)

    @rule()
    def write_again(self):
        """The operator writes what a return lost."""
        self.write_lost()
        self.run_step()

    def write_lost(self) -> None:
        content = self.store.get_content()
        configuration = build_configuration(self.version)
        record = content.get(CONFIGURATION_KEY)
        if record is None or record.value != configuration:
            self.write(CONFIGURATION_KEY, configuration)
        for domain in DOMAIN_NAMES:
            exists = EVACUATION_PREFIX + domain in content
            if exists is not (domain in self.wanted_evacuations):
                self.write_evacuation(domain)

    @rule(name=NAMES)
    def start_upstream(self, name):
        if not self.upstreams[name].is_alive:
            self.start_process(name)
        self.run_step()

    @rule(name=NAMES)
    def drain_upstream(self, name):
        upstream = self.upstreams[name]
        if upstream.is_alive and upstream.state == "ready":
            upstream.state = "draining"
            self.report(name)
        self.run_step()

    @rule(name=NAMES, is_announced=st.booleans())
    def stop_upstream(self, name, is_announced):
        """Ends a process, with its entry removed or without a word."""
        self.upstreams[name].is_alive = False
        if is_announced:
            self.write(SERVER_PREFIX + name, None)
        self.run_step()

    @rule(name=MEMBERS, is_present=st.booleans())
    def change_member(self, name, is_present):
        self.write(NODE_PREFIX + name, build_member(name) if is_present else None)
        self.run_step()

    @rule()
    def restart_instance(self):
        if not self.is_cut_off:
            self.runner.run(self.restart())
        self.run_step()

    async def restart(self) -> None:
        self.start_instance()

    @rule(age=st.integers(1, 25), delay_s=st.floats(0.0, REWRITE_S))
    def restore(self, age, delay_s):
        """Restores a copy some steps old; living upstreams write again soon."""
        self.store.restore(self.saved[max(-len(self.saved), -age)])
        content = self.store.get_content()
        for name, upstream in self.upstreams.items():
            upstream.write_at = min(upstream.write_at, self.now + delay_s)
            if SERVER_PREFIX + name in content:
                self.expires_at[name] = self.now + ENTRY_LIFETIME_S
        self.run_step()

    @rule(is_cut_off=st.booleans())
    def cut_off(self, is_cut_off):
        if self.is_cut_off and not is_cut_off:
            self.connected_at = self.now
        self.is_cut_off = is_cut_off
        self.run_step()

    @rule(steps=st.integers(1, 40))
    def wait(self, steps):
        self.run_step(steps)

    def run_step(self, steps: int = 1) -> None:
        self.runner.run(self.play(steps))

    async def play(self, steps: int) -> None:
        self.update()
        self.saved.append(self.store.copy())
        for _ in range(steps):
            await asyncio.sleep(STEP_S)
            for name, upstream in self.upstreams.items():
                if upstream.is_alive and self.now >= upstream.write_at:
                    self.report(name)
                elif self.now >= self.expires_at.get(name, float("inf")):
                    self.write(SERVER_PREFIX + name, None)
            self.update()
            self.saved.append(self.store.copy())

    # What the instance makes of it.

    def update(self) -> None:
        """Brings the instance up to date and checks what it believes."""
        sent: tuple[StoredValue, ...] = ()
        is_new_era = False
        if not self.is_cut_off:
            is_new_era = self.instance.log.position.era < self.store.era
            if is_new_era and self.instance.log.position.era > 0:
                self.noticed_at = self.now
            latest = {r.key: r for r in self.instance.synchronize()}
            sent = tuple(latest.values())
        self.elapsed_s = self.now - self.noticed_at + TOLERANCE_S
        # Written since the return, whatever was known before.
        written = {r.key: r for r in sent if r.revision > self.store.base_revision}
        self.check_configuration(written)
        self.check_evacuations(sent, written, is_restored=is_new_era)
        self.check_members(written)
        self.check_upstreams(sent, written, is_restored=is_new_era)

    def check_configuration(self, written: dict[str, StoredValue]) -> None:
        table = self.instance.state.table
        assert table is not None
        if table.version < self.table_version:
            assert self.elapsed_s >= CONFIGURATION_CARRY_OVER_S
        self.table_version = table.version
        if CONFIGURATION_KEY in written:
            assert table.version == self.version

    def check_evacuations(self, sent, written, *, is_restored: bool) -> None:
        """Checks that only writes after the return change an evacuation.

        Exceptions are a start in the copy that the instance had not seen, and a start
        that the instance reads with the copy, at the revision of an earlier one: it
        cannot know which of both it is.
        """
        domains = set(self.instance.state.evacuated_domains)
        for domain in DOMAIN_NAMES:
            key = EVACUATION_PREFIX + domain
            is_evacuated = domain in domains
            restored = next((r for r in sent if r.key == key), None)
            record = written.get(key)
            is_seen = restored is not None and restored.value in self.seen_starts
            is_ambiguous = (
                is_restored
                and restored is not None
                and (domain, restored.revision) in self.seen_revisions
            )
            if record is not None and not is_ambiguous:
                assert is_evacuated is (record.value is not None)
            elif is_evacuated is not (domain in self.domains):
                is_unseen_start = is_evacuated and restored is not None and not is_seen
                is_over = self.elapsed_s >= EVACUATION_CARRY_OVER_S
                assert is_unseen_start or is_over
            for item in sent:
                if item.key == key and item.value is not None:
                    self.seen_starts.add(item.value)
                    self.seen_revisions.add((domain, item.revision))
        self.domains = domains

    def check_members(self, written: dict[str, StoredValue]) -> None:
        members = set(self.instance.state.members)
        for name in self.members - members:
            record = written.get(NODE_PREFIX + name)
            is_removed = record is not None and record.value is None
            assert is_removed or self.elapsed_s >= MEMBER_CARRY_OVER_S
        for key, record in written.items():
            if key.startswith(NODE_PREFIX):
                exists = key.removeprefix(NODE_PREFIX) in members
                assert exists is (record.value is not None)
        self.members = members

    def check_upstreams(self, sent, written, *, is_restored: bool) -> None:
        for record in sent:
            if record.key.startswith(SERVER_PREFIX):
                self.note_report(record)
        content = self.instance.get_records()
        for name, upstream in self.upstreams.items():
            key = SERVER_PREFIX + name
            entry = self.instance.state.entries.get(name)
            is_usable = self.instance.is_usable(name)
            was_usable = name in self.usable
            if entry is not None and entry.upstream is None:
                self.ended[name] = self.reports.get(name, NO_REPORT)
            if entry is not None and entry.report is not None:
                # The copy's entry may even be that of an earlier process.
                is_over = self.elapsed_s >= UPSTREAM_CARRY_OVER_S
                assert is_over or entry.report >= self.used.get(name, NO_REPORT)
                self.used[name] = entry.report
            if is_usable and name in self.ended:
                self.check_return(name, written, is_restored=is_restored)
            if was_usable and not is_usable and self.noticed_at > 0:
                assert entry is not None
                if entry.upstream is None:
                    assert self.elapsed_s >= MIN_REREGISTRATION_S
            if is_usable and key not in content:
                # Missing from the copy, or expired.
                assert self.elapsed_s < REREGISTRATION_S + 2 * TOLERANCE_S
            is_connected = self.now - self.connected_at > SETTLING_S
            if was_usable and is_connected and not self.is_cut_off:
                assert is_usable or upstream.state != "ready" or not upstream.is_alive
            self.check_written_entry(name, written.get(key), is_restored=is_restored)
            self.usable.discard(name)
            if is_usable:
                self.usable.add(name)

    def note_report(self, record: StoredValue) -> None:
        name = record.key.removeprefix(SERVER_PREFIX)
        known = self.reports.get(name, NO_REPORT)
        if record.value is None:
            # Within the grace period after a return, the entry may have expired only
            # because the store was away.
            return
        server = decode_server(name, record.value)
        self.reports[name] = max(known, server.report)
        if server.draining:
            self.ended[name] = max(self.ended.get(name, NO_REPORT), server.report)

    def check_return(self, name, written, *, is_restored: bool) -> None:
        """Checks that an upstream that had ended is used only for a good reason."""
        entry = self.instance.state.entries[name]
        if self.elapsed_s >= UPSTREAM_CARRY_OVER_S:
            del self.ended[name]
        elif self.ended[name] == NO_REPORT:
            # Only its removal was seen, so only a change after the copy is later.
            assert SERVER_PREFIX + name in written and not is_restored
            del self.ended[name]
        else:
            assert entry.report > self.ended[name]

    def check_written_entry(self, name, record, *, is_restored: bool) -> None:
        if record is None:
            return
        entry = self.instance.state.entries[name]
        if record.value is None:
            assert entry.upstream is None or entry.is_suspect
        elif not (is_restored and self.ended.get(name) == NO_REPORT):
            server = decode_server(name, record.value)
            assert entry.upstream == server

    async def finish(self) -> None:
        """All is written again, and the stated times pass."""
        self.is_cut_off, self.connected_at = False, self.now
        self.update()
        self.write_lost()
        await self.play(round((UPSTREAM_CARRY_OVER_S + 1.0) / STEP_S))
        state = self.instance.state
        content = self.store.get_content()
        assert state.table.version == self.version
        assert state.evacuated_domains >= self.wanted_evacuations
        known = {
            SERVER_PREFIX + name: entry.upstream
            for name, entry in state.entries.items()
            if entry.upstream is not None
        }
        assert known == {
            key: decode_server(key.removeprefix(SERVER_PREFIX), record.value)
            for key, record in content.items()
            if key.startswith(SERVER_PREFIX)
        }
        assert {NODE_PREFIX + name for name in state.members} == {
            key for key in content if key.startswith(NODE_PREFIX)
        }
        await asyncio.sleep(CONFIGURATION_CARRY_OVER_S)
        assert state.evacuated_domains == self.wanted_evacuations
        assert state.describe()["deferred"] == []


BeliefMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, deadline=None
)
test_beliefs = BeliefMachine.TestCase
