"""Agents over the eras of a store: returns, restarts, peers that are behind."""

from __future__ import annotations

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.agent.era_store import (
    EraStore,
    ModelAgent,
    build_policy,
    end_carry_over,
)
from tests.fake_clock import FakeClock

KEYS = [f"policies/cuepublish/{version}" for version in (1, 2)]
AGENTS = strategies.integers(0, 2)


class EraMachine(RuleBasedStateMachine):
    """Three agents follow a store that is restored, restart and exchange records."""

    def __init__(self):
        super().__init__()
        self.store = EraStore()
        self.clock = FakeClock()
        self.agents = [self.start(index) for index in range(3)]
        self.count = 0
        self.intended = {}
        self.deletions = {key: [] for key in KEYS}
        self.seen = [{} for _ in self.agents]
        self.unseen_deletions = set()
        self.has_restarted = False

    def start(self, index):
        return ModelAgent(self.store, self.clock, is_primary=index == 0)

    def apply_intended(self, key):
        number = self.intended[key]
        if number is not None:
            self.store.write(key, build_policy(key, number))
        elif key in self.store.entries:
            self.store.write(key, None)

    @rule(key=strategies.sampled_from(KEYS))
    def write(self, key):
        self.count += 1
        self.intended[key] = self.count
        self.apply_intended(key)

    @rule(key=strategies.sampled_from(KEYS))
    def delete(self, key):
        if key in self.store.entries:
            self.count += 1
            self.intended[key] = None
            self.deletions[key].append(self.count)
            # Cannot be told from a record that the store lost.
            if any(agent.progress.era < self.store.era for agent in self.agents):
                self.unseen_deletions.add(key)
            self.apply_intended(key)

    @rule(index=AGENTS)
    def follow(self, index):
        self.agents[index].follow()

    @rule(index=AGENTS)
    def read(self, index):
        self.agents[index].read()

    @rule(sender=AGENTS, receiver=AGENTS)
    def exchange(self, sender, receiver):
        self.agents[receiver].receive(self.agents[sender])

    @rule()
    def follow_all(self):
        self.synchronize()

    @rule(steps=strategies.integers(0, 4))
    def restore(self, steps):
        # A copy is some seconds old, so each agent has seen what it holds.
        self.synchronize()
        self.restore_unseen(steps)

    @rule(steps=strategies.integers(1, 3), key=strategies.sampled_from(KEYS))
    def restore_after_unread_writes(self, steps, key):
        self.synchronize()
        for _ in range(steps):
            self.write(key)
        self.restore_unseen(steps)

    def restore_unseen(self, steps):
        self.store.restore(max(0, self.store.revision - steps))

    @rule(index=AGENTS)
    def restart(self, index):
        self.agents[index] = self.start(index)
        self.seen[index] = {}
        self.has_restarted = True

    @rule()
    def write_again(self):
        for key in self.intended:
            self.apply_intended(key)
        self.synchronize()
        for agent in self.agents:
            for key, number in self.intended.items():
                state = agent.find_state(key)
                if number is not None:
                    assert state == number
                elif key not in self.unseen_deletions:
                    assert state in ("retired", None)

    @rule()
    def pass_time(self):
        self.synchronize()
        end_carry_over(self.clock)
        self.synchronize()
        for key in KEYS:
            stored = self.store.entries.get(key)
            for agent in self.agents:
                state = agent.find_state(key)
                if stored is None:
                    assert state in ("retired", None)
                else:
                    body = build_policy(key, state) if state != "retired" else b""
                    assert body == stored.value
        for seen in self.seen:
            seen.clear()
        self.unseen_deletions.clear()
        self.has_restarted = False
        self.intended = {
            key: number
            for key, number in self.intended.items()
            if self.agents[0].find_state(key) == number
        }

    def synchronize(self):
        for _ in range(2):
            for agent in self.agents:
                assert agent.follow() or agent.follow()
            for receiver in self.agents:
                for sender in self.agents:
                    receiver.receive(sender)

    @invariant()
    def nothing_in_force_reverts(self):
        if self.has_restarted:
            return
        for agent, seen in zip(self.agents, self.seen, strict=True):
            for key in KEYS:
                state = agent.find_state(key)
                known = seen.get(key, 0)
                if isinstance(state, int):
                    assert state >= known, (key, state, known)
                    seen[key] = state
                elif state == "retired" and known and known == int(known):
                    assert any(deleted > known for deleted in self.deletions[key])
                    seen[key] = known + 0.5

    @invariant()
    def watermarks_never_go_back(self):
        for agent in self.agents:
            assert agent.progress.watermark >= getattr(agent, "watermark", 0)
            agent.watermark = agent.progress.watermark


EraMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=25, deadline=None, derandomize=True
)
TestEras = EraMachine.TestCase
