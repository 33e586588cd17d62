"""Load patterns on the model of a service, compared with other ways of choosing.

Each test names the pattern that it answers. Bounds are the targets of docs/design.md:
latency at most half that of a size-blind choice, 1.5 times that of a central queue that
knows everything, goodput at the crest at least that of the baselines.
"""

from __future__ import annotations

import dataclasses

import pytest

from measure.service_model import ServiceShape

from .patterns import SHORT_CALL, play

SEEDS = [1, 2, 3]
# Of a central queue's latency.
CENTRAL_FACTOR = 1.5
# Of the latency of a choice that knows only its own requests.
BLIND_FACTOR = 0.5


@pytest.mark.parametrize("seed", SEEDS)
def test_noisy_neighbours_slow_down_a_third_of_the_machines(seed):
    """A machine takes seven times as long for half a second, then another does."""
    balanced = play("balancer", lambda _: 200.0, seed=seed)
    blind = play("own-count", lambda _: 200.0, seed=seed)
    central = play("central", lambda _: 200.0, seed=seed)

    late_share = 1 - balanced.in_time_share
    assert late_share <= BLIND_FACTOR * (1 - blind.in_time_share)
    assert late_share <= CENTRAL_FACTOR * (1 - central.in_time_share)
    assert balanced.get_quantile(0.5) <= CENTRAL_FACTOR * central.get_quantile(0.5)


@pytest.mark.parametrize("seed", SEEDS)
def test_crest_above_what_all_upstreams_can_do(seed):
    """Demand rises to one and a half times the capacity for two seconds."""

    def rate(now: float) -> float:
        return 600.0 if 3.0 <= now < 5.0 else 250.0

    balanced = play("balancer", rate, seed=seed)
    blind = play("own-count", rate, seed=seed)
    reported = play("reported-load", rate, seed=seed)

    assert balanced.in_time_share >= blind.in_time_share
    assert balanced.in_time_share >= reported.in_time_share
    assert balanced.failed <= BLIND_FACTOR * blind.failed


@pytest.mark.parametrize("seed", SEEDS)
def test_crest_at_which_refused_callers_come_back(seed):
    """Demand stays at what all upstreams can do at their best load.

    Each instance has few waiting requests, though all have many together. A run that
    starts on a crowded upstream takes longer, so less work is done in all.
    """
    call = dataclasses.replace(SHORT_CALL, returns=1)
    shape = ServiceShape(upstreams=12)
    shares = {}
    for name in ("balancer", "own-count"):
        models = []
        play(
            name,
            lambda _: 350.0,
            seed=seed,
            length_s=6.0,
            shape=shape,
            call=call,
            prepare=models.append,
        )
        upstreams = models[0].upstreams.values()
        crowded = sum(upstream.crowded_runs for upstream in upstreams)
        shares[name] = crowded / sum(upstream.runs for upstream in upstreams)

    assert shares["balancer"] <= BLIND_FACTOR * shares["own-count"]


def test_normal_service_soon_after_a_crest():
    """What arrives a second after the crest is served as if there had been none."""

    def rate(now: float) -> float:
        return 700.0 if now < 2.0 else 200.0

    late = total = calm_late = calm_total = 0
    for seed in SEEDS:
        calm = play("balancer", lambda _: 200.0, seed=seed)
        calm_late += calm.total - calm.in_time
        calm_total += calm.total
        # Requests after the first three seconds are those that the longer run has more.
        longer = play("balancer", rate, seed=seed, length_s=9.0)
        shorter = play("balancer", rate, seed=seed, length_s=3.0)
        total += longer.total - shorter.total
        late += longer.total - longer.in_time - (shorter.total - shorter.in_time)

    assert late / total <= CENTRAL_FACTOR * calm_late / calm_total


@pytest.mark.parametrize("seed", SEEDS)
def test_refusals_at_the_crest_come_early(seed):
    """A caller that is refused must have time to ask again."""
    tally = play("balancer", lambda _: 700.0, seed=seed, length_s=4.0)

    waits = sorted(tally.refused_after)
    # The caller may be told to come back within a third of the time that it has left.
    assert waits[len(waits) // 2] <= 0.8 * 2 / 3


@pytest.mark.parametrize("seed", SEEDS)
def test_some_upstreams_fail_at_once_and_look_idle(seed):
    """Failing fast empties an upstream, which must not attract more work."""

    def prepare(model):
        for target in [*model.upstreams.values()][:3]:
            target.failing_share = 1.0

    balanced = play("balancer", lambda _: 200.0, seed=seed, prepare=prepare)
    blind = play("own-count", lambda _: 200.0, seed=seed, prepare=prepare)

    assert balanced.failed <= BLIND_FACTOR * blind.failed


@pytest.mark.parametrize("seed", SEEDS)
def test_all_upstreams_shed_half_of_their_work_though_idle(seed):
    """None is better than the others, so waiting for one that is helps nobody."""
    shedding_share = 0.5

    def prepare(model):
        for target in model.upstreams.values():
            target.shedding_share = shedding_share

    calm = play("balancer", lambda _: 200.0, seed=seed)
    balanced = play("balancer", lambda _: 200.0, seed=seed, prepare=prepare)

    assert balanced.refused <= calm.refused + 0.01 * balanced.total
    # Half of the attempts are rejected, the others see fewer others at work.
    accepted = balanced.in_time / (balanced.total * (1 - shedding_share))
    assert accepted >= calm.in_time_share - 0.05


@pytest.mark.parametrize("seed", SEEDS)
def test_some_upstreams_fall_silent(seed):
    """Machines without power answer neither probes nor requests."""

    def prepare(model):
        for target in [*model.upstreams.values()][:3]:
            target.is_silent = True

    def remove(model):
        """Leaves the same upstreams, whose neighbours make noise at the same times."""
        for identifier in [*model.upstreams][:3]:
            del model.upstreams[identifier]

    balanced = play("balancer", lambda _: 200.0, seed=seed, prepare=prepare)
    healthy = play("balancer", lambda _: 200.0, seed=seed, prepare=remove)

    assert balanced.in_time_share >= healthy.in_time_share - 0.02


@pytest.mark.parametrize("seed", SEEDS)
def test_probes_stay_within_their_budget_at_any_load(seed):
    """The budget is 60 probes a second on each upstream by all instances together."""
    from measure.service_callers import Callers, CallShape, Tally, build_balancer
    from measure.service_model import ServiceModel
    from measure.virtual_loop import run_virtual

    async def work():
        model = ServiceModel(ServiceShape(upstreams=6), seed)
        balancers = [build_balancer(model, 13, number) for number in range(13)]
        callers = Callers(model, balancers, seed)
        await callers.run(CallShape(0.03, 0.12, 0.4), lambda _: 500.0, 5.0, Tally())
        return sum(balancer.probes.sent for balancer in balancers)

    # The quiet seconds before may be used up, once.
    assert run_virtual(work()) <= 60 * 6 * (5.0 + 4.0)
