"""Load balancing algorithms that a policy's ``chooser`` setting selects from."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator, Sequence

    from ..policy.policy import Chooser as ChooserName
    from .upstream_state import UpstreamState

HIGH_LOAD_QUANTILE = 0.75


class UpstreamScorer(Protocol):
    """Scores the load of upstreams for one choice; lower is better."""

    def score_by_local_load(self, state: UpstreamState) -> float:
        """Returns the score by this entry's requests in flight alone."""

    def score_by_estimated_load(self, state: UpstreamState) -> float:
        """Returns the score by the estimated requests in flight over all entries."""


@dataclass(frozen=True)
class RandomChoice:
    """Chooses uniformly at random."""


@dataclass(frozen=True)
class RoundRobin:
    """Chooses each upstream in turn."""

    positions: Iterator[int] = field(default_factory=itertools.count)


@dataclass(frozen=True)
class LeastInFlight:
    """Chooses the upstream with the fewest requests in flight from this entry."""


@dataclass(frozen=True)
class TwoChoices:
    """Chooses the less loaded of two random upstreams (power of two choices).

    ``reported`` includes load reports in the comparison.
    """

    reported: bool = False


@dataclass(frozen=True)
class ReportPool:
    """Chooses the fastest upstream that is not among the most loaded quarter.

    Also known as hot-cold selection.
    """


@dataclass(frozen=True)
class LeastEstimated:
    """Chooses the upstream with the lowest estimated load over all entries."""


Chooser = (
    RandomChoice | RoundRobin | LeastInFlight | TwoChoices | ReportPool | LeastEstimated
)


def create_chooser(name: ChooserName) -> Chooser:
    """Creates the chooser with the name that a policy gives."""
    match name:
        case "random":
            return RandomChoice()
        case "round_robin":
            return RoundRobin()
        case "least_in_flight":
            return LeastInFlight()
        case "two_choices":
            return TwoChoices()
        case "two_choices_reported":
            return TwoChoices(reported=True)
        case "report_pool":
            return ReportPool()
        case "least_estimated":
            return LeastEstimated()


def pick_upstream(
    chooser: Chooser,
    candidates: Sequence[UpstreamState],
    scorer: UpstreamScorer,
    generator: random.Random,
) -> UpstreamState:
    """Returns the candidate that the chooser selects; there must be at least one."""
    match chooser:
        case RandomChoice():
            return candidates[int(generator.random() * len(candidates))]
        case RoundRobin(positions=positions):
            return candidates[next(positions) % len(candidates)]
        case LeastInFlight():
            return pick_lowest(
                candidates,
                [scorer.score_by_local_load(state) for state in candidates],
                generator,
            )
        case TwoChoices(reported=reported):
            score = (
                scorer.score_by_estimated_load
                if reported
                else scorer.score_by_local_load
            )
            first = candidates[int(generator.random() * len(candidates))]
            second = candidates[int(generator.random() * len(candidates))]
            return first if score(first) <= score(second) else second
        case ReportPool():
            return pick_fastest_unloaded(candidates, scorer, generator)
        case LeastEstimated():
            return pick_lowest(
                candidates,
                [scorer.score_by_estimated_load(state) for state in candidates],
                generator,
            )


def pick_lowest(
    candidates: Sequence[UpstreamState], values: list[float], generator: random.Random
) -> UpstreamState:
    """Returns the candidate with the lowest value; breaks ties at random.

    The search starts at a random position. Otherwise all entries would send to the
    first upstream in the list whenever there is a tie.
    """
    start = int(generator.random() * len(values))
    best = start
    for position in itertools.chain(range(start, len(values)), range(start)):
        if values[position] < values[best]:
            best = position
    return candidates[best]


def pick_fastest_unloaded(
    candidates: Sequence[UpstreamState],
    scorer: UpstreamScorer,
    generator: random.Random,
) -> UpstreamState:
    """Returns the fastest candidate whose load score is not in the highest quarter."""
    values = [scorer.score_by_estimated_load(state) for state in candidates]
    threshold = sorted(values)[int(HIGH_LOAD_QUANTILE * (len(values) - 1))]
    unloaded = [
        state
        for state, value in zip(candidates, values, strict=True)
        if value <= threshold
    ]
    return pick_lowest(unloaded, [state.latency_ratio for state in unloaded], generator)
