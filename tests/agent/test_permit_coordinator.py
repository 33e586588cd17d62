import math

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.fake_clock import FakeClock
from verbenacross.agent.permit_coordinator import (
    PERMIT_LIFETIME_S,
    EligibleUpstreams,
    Grant,
    PermitCoordinator,
)
from verbenacross.agent.service_policies import ServicePolicies
from verbenacross.policy import PolicyRecord, PolicyTable
from verbenacross.protocol.messages import PermitReport, PermitRequest

UPSTREAMS = ("u0", "u1", "u2")
SLOTS = 2
INDEXES = st.integers(0, 4)


class CoordinatorMachine(RuleBasedStateMachine):
    """Entries request, repeat, renew, release and crash; grants may be lost."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = FakeClock()
        self.coordinator = PermitCoordinator(
            "web", lambda service: EligibleUpstreams(UPSTREAMS, SLOTS), self.clock
        )
        self.issued = 0
        self.pending: dict[str, int] = {}
        self.excluded: dict[str, set[str]] = {}
        self.running: dict[str, tuple[str, float]] = {}

    def record_grants(self, grants: list[Grant], is_lost: bool) -> None:
        for grant in grants:
            permit = grant.message.permit
            assert grant.message.upstream not in self.excluded[permit]
            if is_lost:
                continue
            expires_at = self.clock.now + PERMIT_LIFETIME_S
            self.pending.pop(permit, None)
            self.running[permit] = (grant.message.upstream, expires_at)

    @rule(excluded=st.sets(st.sampled_from(UPSTREAMS)), is_lost=st.booleans())
    def request_permit(self, excluded: set[str], is_lost: bool) -> None:
        self.issued += 1
        permit = f"p{self.issued}"
        self.pending[permit] = 1
        self.excluded[permit] = excluded
        request = PermitRequest(permit, "web", 2_000, tuple(excluded), 1)
        self.coordinator.add_request("a", request)
        grants = self.coordinator.grant_pending()
        self.record_grants(grants, is_lost)

    @rule(index=INDEXES, is_lost=st.booleans())
    def repeat(self, index: int, is_lost: bool) -> None:
        if not self.pending:
            return
        permit = sorted(self.pending)[index % len(self.pending)]
        self.excluded[permit] = set()
        request = PermitRequest(permit, "web", 2_000, (), 2)
        grant = self.coordinator.add_request("a", request)
        grants = [grant] if grant else self.coordinator.grant_pending()
        self.record_grants(grants, is_lost)

    @rule(index=INDEXES)
    def renew(self, index: int) -> None:
        if not self.running:
            return
        permit = sorted(self.running)[index % len(self.running)]
        upstream, _ = self.running[permit]
        self.coordinator.record_report(PermitReport(permit, "web", upstream))
        self.running[permit] = (upstream, self.clock.now + PERMIT_LIFETIME_S)

    @rule(index=INDEXES)
    def finish(self, index: int) -> None:
        if self.running:
            permit = sorted(self.running)[index % len(self.running)]
            del self.running[permit]
            self.coordinator.release(permit)

    @rule(seconds=st.floats(0.1, 3))
    def wait(self, seconds: float) -> None:
        self.clock.now += seconds
        now = self.clock.now
        self.running = {k: w for k, w in self.running.items() if now < w[1]}
        self.coordinator.expire()

    @invariant()
    def slots_are_not_exceeded(self) -> None:
        upstreams = [upstream for upstream, _ in self.running.values()]
        assert all(upstreams.count(upstream) <= SLOTS for upstream in UPSTREAMS)

    def teardown(self) -> None:
        self.clock.now += PERMIT_LIFETIME_S + 1
        self.coordinator.expire()
        assert self.coordinator.is_idle()


TestCoordinator = CoordinatorMachine.TestCase
TestCoordinator.settings = settings(
    max_examples=80, stateful_step_count=40, deadline=None
)


def request_permit(coordinator: PermitCoordinator, permit: str) -> list[str]:
    coordinator.add_request("a", PermitRequest(permit, "web", 2_000, (), 1))
    grants = coordinator.grant_pending()
    return [grant.message.permit for grant in grants]


def test_reports_count_against_the_share_and_waiting_work_goes_on_in_order():
    """Reported permits must occupy slots, or a new coordinator grants them again.

    Requests that wait for a slot are then granted in order of arrival.
    """
    coordinator = PermitCoordinator("web", lambda service: EligibleUpstreams(["u0"], 2))
    coordinator.record_report(PermitReport("old", "web", "u0"))
    coordinator.record_report(PermitReport("short", "web", "u0"))
    assert request_permit(coordinator, "p1") == request_permit(coordinator, "p2") == []
    coordinator.release("old")
    assert [grant.message.permit for grant in coordinator.grant_pending()] == ["p1"]
    coordinator.release("short")
    assert [grant.message.permit for grant in coordinator.grant_pending()] == ["p2"]


def test_strictest_active_version_decides():
    """The strictest limit must apply while two policy versions are active."""
    table = PolicyTable()
    policies = ServicePolicies(table)
    bodies = [
        b'"limits": {"long_share": 0.5}, "measuring": {"probes_per_second": 2}',
        b'"limits": {"long_share": 0.1}, "measuring": {"probes_per_second": 8}',
    ]
    for version, body in enumerate(bodies, 1):
        head = b'{"schema_version": 1, "service": "web", "version": %d, ' % version
        table.put(PolicyRecord(f"policies/web/{version}", version, head + body + b"}"))
    assert policies.get_long_slots("web") == 1
    assert math.isclose(policies.get_probe_interval_s("web") or 0, 0.5)
    table.put(PolicyRecord("policies/web/2", 9, b""))
    assert policies.get_long_slots("web") == 3
    table.put(PolicyRecord("policies/web/1", 10, b""))
    assert policies.get_probe_interval_s("web") is None


def test_repeated_request_keeps_the_slot_of_a_lost_grant():
    """A repeated request must renew the permit whose grant was lost.

    Otherwise the slot of the repeated grant expires before the entry renews it.
    """
    clock = FakeClock()
    coordinator = PermitCoordinator(
        "web", lambda service: EligibleUpstreams(["u0"], 1), clock
    )
    assert request_permit(coordinator, "p1") == ["p1"]
    clock.now += 4
    grant = coordinator.add_request("a", PermitRequest("p1", "web", 2_000, (), 2))
    assert grant is not None
    assert grant.message.sequence == 2
    clock.now += 4
    coordinator.expire()
    assert request_permit(coordinator, "p2") == []
