"""Admitted requests over all instances under failures of messages and processes."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.quotas.fleet import Fleet
from verbenacross.quotas.quota_limit import QuotaLimit

CUSTOMER = "customer-0"
NODES = st.sampled_from([f"node-{index}" for index in range(8)])


class QuotaMachine(RuleBasedStateMachine):
    """Guards against more admitted requests than the bound in any 5 s."""

    @initialize(seed=st.integers(0, 1_000), rate=st.sampled_from((2.0, 40.0, 100.0)))
    def start(self, seed, rate):
        self.fleet = Fleet(8, 2, {CUSTOMER: QuotaLimit(rate, rate / 2)}, seed)
        self.fleet.refund_share = 0.05
        self.run_for(2.0, 0.6)

    def run_for(self, duration_s, factor):
        rate = self.fleet.limits[CUSTOMER].rate_per_s
        self.fleet.run(duration_s, {CUSTOMER: rate * factor})

    @rule(duration_s=st.sampled_from((0.2, 1.0, 2.5)), factor=st.floats(0.3, 5.0))
    def send_requests(self, duration_s, factor):
        self.run_for(duration_s, factor)

    @rule(name=NODES, duration_s=st.floats(0.2, 3.0))
    def pause(self, name, duration_s):
        instance = self.fleet.instances[name]
        instance.paused_until = self.fleet.now + duration_s

    @rule(name=NODES)
    def restart(self, name):
        self.fleet.restart(name)
        self.run_for(0.5, 0.6)

    @rule(name=NODES)
    def cut_off(self, name):
        self.fleet.cut = {name}

    @rule()
    def heal(self):
        self.fleet.cut = set()
        self.fleet.loss = self.fleet.duplicates = self.fleet.extra_delay_s = 0.0

    @rule(loss=st.floats(0, 0.3), duplicates=st.floats(0, 0.3))
    def lose_messages(self, loss, duplicates):
        self.fleet.loss, self.fleet.duplicates = loss, duplicates

    @rule(delay_s=st.floats(0, 0.15))
    def delay_messages(self, delay_s):
        self.fleet.extra_delay_s = delay_s

    @rule(index=st.integers(0, 1))
    def change_root(self, index):
        self.fleet.change_root(self.fleet.domains[index])

    @rule(rate=st.sampled_from((2.0, 10.0, 40.0, 100.0)))
    def change_limit(self, rate):
        self.run_for(0.5, 0.6)
        self.fleet.change_limits({CUSTOMER: QuotaLimit(rate, rate / 2)})
        self.run_for(1.0, 1.0)
        self.fleet.windows[CUSTOMER].clear()
        self.fleet.largest.clear()

    @invariant()
    def stays_within_bound(self):
        if hasattr(self, "fleet"):
            largest = self.fleet.largest[CUSTOMER]
            assert largest <= self.fleet.limits[CUSTOMER].bound, largest


TestQuotaMachine = QuotaMachine.TestCase
TestQuotaMachine.settings = settings(
    max_examples=40, stateful_step_count=25, deadline=None
)
