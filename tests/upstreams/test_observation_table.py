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
from verbenacross.upstreams.replacement_watch import ReplacementWatch

UPSTREAMS = st.sampled_from("xyz")
DELAYS = st.floats(0, 3)


class InTransit(NamedTuple):
    observation: Observation
    table: int


class SpreadMachine(RuleBasedStateMachine):
    """Three tables exchange observations, delayed and duplicated, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = FakeClock()
        self.tables = [ObservationTable(self.clock) for _ in range(3)]
        self.transit: list[InTransit] = []
        self.seen_at: dict[str, float] = {}
        for index, table in enumerate(self.tables):
            table.changes.subscribe(lambda news, index=index: self.send(index, news))

    def send(self, source: int, news: tuple[Observation, ...]) -> None:
        for observation in news:
            for table in range(3):
                if table != source:
                    self.transit.append(InTransit(observation, table))

    @rule(upstream=UPSTREAMS, table=st.integers(0, 2))
    def see_draining(self, upstream: str, table: int) -> None:
        self.seen_at[upstream] = self.clock.now
        ObservationReporter(self.tables[table], "t").note_state(upstream, "draining")
        assert not self.tables[table].accepts_requests(upstream)

    @rule(upstream=UPSTREAMS, table=st.integers(0, 2))
    def see_live(self, upstream: str, table: int) -> None:
        before = self.tables[table].accepts_requests(upstream)
        ObservationReporter(self.tables[table], "t").note_state(upstream, "live")
        assert self.tables[table].accepts_requests(upstream) == before

    @rule(index=st.integers(0, 50), again=st.booleans())
    def deliver(self, index: int, again: bool) -> None:
        if not self.transit:
            return
        item = self.transit[index % len(self.transit)]
        if not again:
            self.transit.remove(item)
        self.tables[item.table].take([item.observation])

    @rule(seconds=DELAYS)
    def wait(self, seconds: float) -> None:
        for _ in range(5):
            transit, self.transit = self.transit, []
            for item in transit:
                self.tables[item.table].take([item.observation])
        assert not self.transit, "observations circulate for ever"
        self.clock.now += seconds

    @invariant()
    def observations_end(self) -> None:
        for upstream, seen_at in self.seen_at.items():
            if self.clock.now >= seen_at + DRAINING_LIFETIME_MS / 1_000 + 0.01:
                assert all(table.accepts_requests(upstream) for table in self.tables)


TestSpread = SpreadMachine.TestCase
TestSpread.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_old_observation_is_refused_and_a_long_lifetime_is_cut():
    """Guards against a wrong claim that closes an upstream for long."""
    clock = FakeClock()
    table = ObservationTable(clock)
    assert table.take([Observation("x", "o", "draining", 31_000, 30_000)]) == ()
    assert table.accepts_requests("x")
    table.take([Observation("x", "o", "draining", 0, 60_000)])
    clock.now += DRAINING_LIFETIME_MS / 1_000
    assert table.accepts_requests("x")


def test_count_is_bounded_and_the_last_to_end_stay():
    """Guards against memory that grows with invented upstream ids."""
    table = ObservationTable(FakeClock())
    excess = 100
    table.take(
        Observation(f"u{index}", "o", "ejected", excess - min(index, excess), 10_000)
        for index in range(MAX_OBSERVATIONS["ejected"] + excess)
    )
    assert table.count()["ejected"] == MAX_OBSERVATIONS["ejected"]
    assert table.is_ejected(f"u{MAX_OBSERVATIONS['ejected'] + excess - 1}")
    assert not table.is_ejected("u0")


def test_replaced_server_gets_work_at_once_but_a_returned_one_does_not():
    """Guards the newer ``live`` claim of the list against a draining observation."""
    table = ObservationTable(FakeClock())
    directory = UpstreamDirectory()
    ReplacementWatch(directory, table)
    first = Instance("x", "web", Address("127.0.0.1", 80), "a")
    directory.replace([first])
    ObservationReporter(table, "o").note_state("x", "draining")
    directory.replace([])
    directory.replace([first])
    assert not table.accepts_requests("x")
    directory.replace([first._replace(address=Address("127.0.0.1", 81))])
    assert table.accepts_requests("x")


def test_newest_load_is_kept():
    """Guards against an older load report that arrives late."""
    table = ObservationTable(FakeClock())
    table.take([Observation("x", "o", "load", 0, 5_000, 7)])
    table.take([Observation("x", "o", "load", 900, 5_000, 3)])
    assert table.get_load("x") == 7


def test_slow_links_do_not_keep_an_observation_alive():
    """Guards against copies that circulate and extend each other."""
    clock = FakeClock()
    tables = [ObservationTable(clock), ObservationTable(clock)]
    ObservationReporter(tables[0], "o").note_state("x", "draining")
    news = tuple(tables[0].build("draining"))
    for hop in range(60):
        clock.now += 1
        news = tables[(hop + 1) % 2].take(news)
    assert all(table.accepts_requests("x") for table in tables)
