"""Replays attempts of one entry from recorded traces; see docs/measuring.md."""

import collections
import heapq
import itertools
import json
import pathlib
import random

import pytest

from tests.fake_clock import FakeClock
from tests.routing.builders import build_context, build_instance, build_policy
from verbenacross.infrastructure.upstream_signals import LoadReport
from verbenacross.routing import AttemptOutcome, ServiceRouter

TRACES = pathlib.Path(__file__).parent.parent / "traces"
SLOTS = 6
MS_PER_S = 1_000


class TraceReplay:
    """Replays the attempts of a trace on a router at their recorded times."""

    def __init__(self, name):
        lines = (TRACES / f"{name}.jsonl").read_text().splitlines()
        self.header, *self.rows = [json.loads(line) for line in lines]
        self.clock = FakeClock()
        self.start = self.clock.now
        self.policy = build_policy(upstreams={"slots": SLOTS})
        self.router = ServiceRouter(random.Random(1), clock=self.clock)
        names = sorted({row["upstream"] for row in self.rows})
        self.router.set_instances(
            build_instance(index)._replace(id=name) for index, name in enumerate(names)
        )
        self.router.set_peers([f"entry-{index}" for index in range(13)], "entry-0")
        self.states = {state.instance.id: state for state in self.router.get_states()}
        self.ejected = []
        self.router.ejections.subscribe(
            lambda ejection: self.ejected.append((self.get_elapsed_ms(), ejection[0]))
        )

    def get_elapsed_ms(self):
        return (self.clock.now - self.start) * MS_PER_S

    def run(self):
        numbers = itertools.count()
        events = [(row["sent_ms"], next(numbers), True, row) for row in self.rows]
        events += [(row["done_ms"], next(numbers), False, row) for row in self.rows]
        heapq.heapify(events)
        while events:
            at_ms, _, is_start, row = heapq.heappop(events)
            self.clock.now = self.start + at_ms / MS_PER_S
            state = self.states[row["upstream"]]
            context = build_context(self.policy, size=row["class"])
            if is_start:
                self.router.choose(context)
                self.router.start_attempt(state, context)
            else:
                self.router.finish_attempt(state, self.build_outcome(row), self.policy)
        return self

    def build_outcome(self, row):
        load = None if row["in_flight"] is None else LoadReport(row["in_flight"])
        latency_s = (row["done_ms"] - row["sent_ms"]) / MS_PER_S
        return AttemptOutcome(latency_s, failed=row["status"] >= 500, load=load)

    def count_choices(self, count=300):
        context = build_context(self.policy)
        chosen = [self.router.choose(context) for _ in range(count)]
        return collections.Counter(state.instance.id for state in chosen if state)


@pytest.mark.parametrize("name", ["slow-10x", "fail-fast"])
def test_the_faulty_upstream_of_a_run_is_ejected_and_no_other(name):
    """Guards outlier detection on recorded attempts: no false ejections by noise."""
    replay = TraceReplay(name).run()
    assert {upstream for _, upstream in replay.ejected} == set(replay.header["faulty"])


def test_failing_upstream_is_ejected_by_its_third_answer():
    """Guards the number of requests that one entry loses to a fast failure."""
    replay = TraceReplay("fail-fast").run()
    (faulty,) = replay.header["faulty"]
    responses = sorted(
        row["done_ms"] for row in replay.rows if row["upstream"] == faulty
    )
    assert replay.ejected[0][0] <= responses[2] + 1


def test_claimed_idleness_draws_no_work():
    """Guards against an upstream that reports no load while it takes 3x as long."""
    replay = TraceReplay("idle-claimed").run()
    (faulty,) = replay.header["faulty"]
    counts = replay.count_choices()
    assert counts[faulty] <= sum(counts.values()) / len(replay.states)


def test_normal_load_ejects_nothing():
    """Guards against ejections caused by the usual variance of long requests."""
    assert TraceReplay("normal").run().ejected == []
