import collections

import pytest

from tests.fake_clock import FakeClock
from tests.routing.builders import (
    build_context,
    build_instance,
    build_policy,
    build_router,
    run_request,
)
from verbenacross.infrastructure.upstream_signals import LoadReport
from verbenacross.routing import AttemptOutcome, NoObservations


@pytest.fixture
def clock():
    return FakeClock()


def count_choices(router, clock, context, count=400, gap_s=0.0):
    counts = collections.Counter()
    for _ in range(count):
        clock.now += gap_s
        counts[run_request(router, clock, context, lambda _: 0.01)] += 1
    return counts


@pytest.mark.parametrize(
    "chooser",
    [
        "random",
        "round_robin",
        "least_in_flight",
        "two_choices",
        "two_choices_reported",
        "report_pool",
        "least_estimated",
    ],
)
def test_every_chooser_uses_every_upstream(clock, chooser):
    """Guards against a chooser that always picks the first of equal upstreams."""
    router = build_router(clock)
    counts = count_choices(router, clock, build_context(build_policy(chooser=chooser)))
    assert set(counts) == {"u0", "u1", "u2", "u3"}
    assert min(counts.values()) >= 400 / 4 / 3


@pytest.mark.parametrize("chooser", ["two_choices_reported", "least_estimated"])
def test_reports_of_load_move_work(clock, chooser):
    """Guards the use of load reports: an upstream with a queue gets fewer requests."""
    router = build_router(clock, peers=4)
    context = build_context(build_policy(chooser=chooser))
    counts = collections.Counter()
    for _ in range(400):
        state = router.choose(context)
        router.start_attempt(state, context)
        clock.now += 0.01
        reported = 9 if state.instance.id == "u0" else 1
        outcome = AttemptOutcome(0.01, load=LoadReport(reported))
        router.finish_attempt(state, outcome, context.policy)
        counts[state.instance.id] += 1
    assert counts["u0"] < 400 / 4 / 2


def test_slowness_shows_in_requests_still_in_flight(clock):
    """Guards against sending more requests to an upstream that stopped responding."""
    router = build_router(clock)
    context = build_context(build_policy())
    for _ in range(100):
        run_request(router, clock, context, lambda _: 0.01)
    stuck = router.choose(context)
    router.start_attempt(stuck, context)
    clock.now += 0.2
    sent = [run_request(router, clock, context, lambda _: 0.001) for _ in range(30)]
    assert stuck.instance.id not in sent


def test_two_overdue_requests_eject_before_any_answer(clock):
    """Guards the time to detect a sudden slowdown, before any response arrives."""
    router = build_router(clock)
    seen = []
    router.ejections.subscribe(seen.append)
    context = build_context(build_policy())
    for _ in range(100):
        run_request(router, clock, context, lambda _: 0.01)
    (first,) = [state for state in router.get_states() if state.instance.id == "u0"]
    router.start_attempt(first, context)
    router.start_attempt(first, context)
    clock.now += 0.05
    router.choose(context)
    assert [ejection.upstream for ejection in seen] == ["u0"]
    assert 0 < seen[0].duration_ms <= 30_000


def fail_on(*failing):
    """Returns a function that sends requests, of which some upstreams fail all."""

    def run(router, clock, context, count):
        counts = collections.Counter()
        for _ in range(count):
            state = router.choose(context)
            router.start_attempt(state, context)
            failed = state.instance.id in failing
            latency_s = 0.001 if failed else 0.01
            clock.now += latency_s
            outcome = AttemptOutcome(
                latency_s, failed=failed, load=LoadReport(0 if failed else 3)
            )
            router.finish_attempt(state, outcome, context.policy)
            counts[state.instance.id] += 1
        return counts

    return run


def test_fast_failures_overrule_idleness(clock):
    """Guards against an upstream that attracts requests by failing fast.

    It reports no load and responds sooner than the upstreams that do the work.
    """
    router = build_router(clock)
    counts = fail_on("u0")(router, clock, build_context(build_policy()), 200)
    assert counts["u0"] <= 3


def test_failures_count_even_where_the_cap_allows_no_ejection(clock):
    """Guards the failure penalty when ``max_ejected_share`` prevents ejections."""
    router = build_router(clock)
    run = fail_on("u0", "u1", "u2")
    counts = run(router, clock, build_context(build_policy()), 400)
    assert counts["u3"] > 400 / 2


def test_ejections_beyond_the_cap_are_ignored(clock):
    """Guards against losing all capacity of a service to a common fault."""
    router = build_router(clock)
    context = build_context(build_policy())
    fail_on("u0", "u1", "u2", "u3")(router, clock, context, 60)
    assert sum(state.ejections > 0 for state in router.get_states()) > 1
    counts = count_choices(router, clock, context, 100)
    assert len(counts) > 1


def test_ejected_upstream_returns_gently_and_is_ejected_again_at_once(clock):
    """Guards recovery: a small share of load first, and one failure ejects again."""
    router = build_router(clock)
    context = build_context(build_policy())
    (failing,) = [state for state in router.get_states() if state.instance.id == "u0"]
    for _ in range(3):
        router.start_attempt(failing, context)
        outcome = AttemptOutcome(0.001, failed=True)
        router.finish_attempt(failing, outcome, context.policy)
    assert failing.ejected_until > clock.now
    clock.now = failing.ejected_until + 0.01
    counts = fail_on("u0")(router, clock, context, 100)
    assert counts["u0"] <= 1
    clock.now = failing.ejected_until + 60
    counts = count_choices(router, clock, context, 200, gap_s=0.05)
    assert counts["u0"] > 200 / 4 / 2


def test_new_upstream_ramps_up(clock):
    """Guards a recently started upstream against a full share of load at once."""
    router = build_router(clock)
    context = build_context(build_policy())
    router.set_instances(build_instance(index) for index in range(5))
    early = count_choices(router, clock, context, 80)
    clock.now += 10
    late = count_choices(router, clock, context, 400)
    assert early["u4"] < 80 / 5 / 2
    assert late["u4"] > 400 / 5 / 2


class SharedObservations(NoObservations):
    """Observations of other instances: u0 is draining, u1 is ejected."""

    def accepts_requests(self, upstream):
        return upstream != "u0"

    def is_ejected(self, upstream):
        return upstream == "u1"


def test_observations_of_others_are_heeded(clock):
    """Guards the use of the observations of other instances."""
    router = build_router(clock, observations=SharedObservations())
    counts = count_choices(router, clock, build_context(build_policy()))
    assert set(counts) == {"u2", "u3"}


def test_draining_upstream_gets_no_more_work(clock):
    """Guards the state in a response header, which precedes the instance list."""
    router = build_router(clock)
    context = build_context(build_policy())
    draining = run_request(
        router, clock, context, lambda _: 0.01, announced_state="draining"
    )
    assert draining not in count_choices(router, clock, context)


def test_near_upstreams_are_preferred_until_they_are_busy(clock):
    """Guards failure domain affinity, and the spillover once it is at capacity."""
    router = build_router(clock, upstreams=4, domains="ab")
    policy = build_policy(near_bonus_requests=2.0)
    context = build_context(policy)
    chosen = []
    for _ in range(12):
        state = router.choose(context)
        router.start_attempt(state, context)
        chosen.append(state.same_failure_domain)
    assert all(chosen[:4])
    assert chosen.count(False) == 4


def test_pool_bounds_the_requests_on_one_upstream(clock):
    """Guards the connection limit of an upstream against further requests."""
    policy = build_policy(upstreams={"connections": 8, "slots": 100})
    router = build_router(clock, upstreams=1, peers=4)
    context = build_context(policy)
    while (state := router.choose(context)) is not None:
        router.start_attempt(state, context)
    assert router.in_flight == 2


def test_one_failure_makes_an_upstream_look_busier(clock):
    """Guards the failure penalty before an ejection, or where none is allowed."""
    router = build_router(clock)
    context = build_context(build_policy())
    run_request(router, clock, context, lambda _: 0.01)
    failed = run_request(router, clock, context, lambda _: 0.01, failed=True)
    assert failed not in count_choices(router, clock, context, 50)


def test_overdue_request_outweighs_a_lower_load(clock):
    """Guards the use of the age of attempts in flight.

    An upstream that stopped responding may have the fewest requests in flight.
    """
    router = build_router(clock)
    context = build_context(build_policy())
    for _ in range(100):
        run_request(router, clock, context, lambda _: 0.01)
    stuck, *others = router.get_states()
    router.start_attempt(stuck, context)
    clock.now += 0.2
    for state in others * 2:
        router.start_attempt(state, context)
    assert router.choose(context) is not stuck


def test_entry_below_its_share_sends_although_reports_say_full(clock):
    """Guards against queued requests while false load reports keep slots idle."""
    router = build_router(clock, peers=4)
    context = build_context(build_policy())
    for state in router.get_states():
        router.start_attempt(state, context)
        outcome = AttemptOutcome(0.0, load=LoadReport(20))
        router.finish_attempt(state, outcome, context.policy)
    assert router.choose(context) is not None
