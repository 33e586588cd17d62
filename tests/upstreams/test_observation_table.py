from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.fake_clock import FakeClock
from verbenacross.infrastructure.instance_list import Instance
from verbenacross.protocol.messages import Observation
from verbenacross.settings import Address
from verbenacross.upstreams import (
    ObservationReporter,
    ObservationTable,
    UpstreamDirectory,
)
from verbenacross.upstreams.observation_table import (
    DRAINING_LIFETIME_MS,
    MAX_OBSERVATIONS,
)
from verbenacross.upstreams.replacement_detector import ReplacementDetector

UPSTREAMS = st.sampled_from("xyz")
DELAYS = st.floats(0, 3)


class Delivery(NamedTuple):
    observation: Observation
    table: int


class SpreadMachine(RuleBasedStateMachine):
    """Three tables exchange observations: delayed, duplicated and reordered."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = FakeClock()
        self.tables = [ObservationTable(self.clock) for _ in range(3)]
        self.pending: list[Delivery] = []
        self.reported_at: dict[str, float] = {}
        for index, table in enumerate(self.tables):
            table.changes.subscribe(
                lambda changes, index=index: self.send(index, changes)
            )

    def send(self, source: int, changes: tuple[Observation, ...]) -> None:
        for observation in changes:
            for table in range(3):
                if table != source:
                    self.pending.append(Delivery(observation, table))

    @rule(upstream=UPSTREAMS, table=st.integers(0, 2))
    def report_draining(self, upstream: str, table: int) -> None:
        self.reported_at[upstream] = self.clock.now
        ObservationReporter(self.tables[table], "t").report_state(upstream, "draining")
        assert not self.tables[table].accepts_requests(upstream)

    @rule(upstream=UPSTREAMS, table=st.integers(0, 2))
    def report_live(self, upstream: str, table: int) -> None:
        before = self.tables[table].accepts_requests(upstream)
        ObservationReporter(self.tables[table], "t").report_state(upstream, "live")
        assert self.tables[table].accepts_requests(upstream) == before

    @rule(index=st.integers(0, 50), is_duplicate=st.booleans())
    def deliver(self, index: int, is_duplicate: bool) -> None:
        if not self.pending:
            return
        item = self.pending[index % len(self.pending)]
        if not is_duplicate:
            self.pending.remove(item)
        self.tables[item.table].merge([item.observation])

    @rule(seconds=DELAYS)
    def wait(self, seconds: float) -> None:
        for _ in range(5):
            pending, self.pending = self.pending, []
            for item in pending:
                self.tables[item.table].merge([item.observation])
        assert not self.pending, "observations circulate indefinitely"
        self.clock.now += seconds

    @invariant()
    def observations_expire(self) -> None:
        for upstream, reported_at in self.reported_at.items():
            if self.clock.now >= reported_at + DRAINING_LIFETIME_MS / 1_000 + 0.01:
                assert all(table.accepts_requests(upstream) for table in self.tables)


TestSpread = SpreadMachine.TestCase
TestSpread.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_old_observation_is_refused_and_a_long_lifetime_is_cut():
    """Guards against a wrong observation that excludes an upstream for long."""
    clock = FakeClock()
    table = ObservationTable(clock)
    assert table.merge([Observation("x", "o", "draining", 31_000, 30_000)]) == ()
    assert table.accepts_requests("x")
    table.merge([Observation("x", "o", "draining", 0, 60_000)])
    clock.now += DRAINING_LIFETIME_MS / 1_000
    assert table.accepts_requests("x")


def test_count_is_bounded_and_the_last_to_end_stay():
    """Guards against memory that grows with ids of upstreams that do not exist."""
    table = ObservationTable(FakeClock())
    excess = 100
    table.merge(
        Observation(f"u{index}", "o", "ejected", excess - min(index, excess), 10_000)
        for index in range(MAX_OBSERVATIONS["ejected"] + excess)
    )
    assert table.count_by_kind()["ejected"] == MAX_OBSERVATIONS["ejected"]
    assert table.is_ejected(f"u{MAX_OBSERVATIONS['ejected'] + excess - 1}")
    assert not table.is_ejected("u0")


def test_replaced_server_gets_work_at_once_but_a_returned_one_does_not():
    """Guards against a draining observation that outlives the server it describes.

    A newer ``live`` state in the list at another address ends the observation; at the
    same address it may be an old state and does not.
    """
    table = ObservationTable(FakeClock())
    directory = UpstreamDirectory()
    ReplacementDetector(directory, table)
    first = Instance("x", "web", Address("127.0.0.1", 80), "a")
    directory.replace([first])
    ObservationReporter(table, "o").report_state("x", "draining")
    directory.replace([])
    directory.replace([first])
    assert not table.accepts_requests("x")
    directory.replace([first._replace(address=Address("127.0.0.1", 81))])
    assert table.accepts_requests("x")


def test_newest_load_is_kept():
    """Guards against an older load report that arrives late."""
    table = ObservationTable(FakeClock())
    table.merge([Observation("x", "o", "load", 0, 5_000, 7)])
    table.merge([Observation("x", "o", "load", 900, 5_000, 3)])
    assert table.get_load("x") == 7


def test_slow_links_do_not_keep_an_observation_alive():
    """Guards against copies that extend each other's lifetime as they circulate."""
    clock = FakeClock()
    tables = [ObservationTable(clock), ObservationTable(clock)]
    ObservationReporter(tables[0], "o").report_state("x", "draining")
    changes = tuple(tables[0].iter_observations("draining"))
    for hop in range(60):
        clock.now += 1
        changes = tables[(hop + 1) % 2].merge(changes)
    assert all(table.accepts_requests("x") for table in tables)
