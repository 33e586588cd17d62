"""The candidate algorithms that choose among the upstreams of a service."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator, Sequence

    from ..policy.policy import Chooser as ChooserName
    from .upstream_state import UpstreamState

HOT_QUANTILE = 0.75


class Scores(Protocol):
    """Load of upstreams at the moment of a choice; lower is better."""

    def score_own(self, state: UpstreamState) -> float:
        """Returns the score by this entry's requests in flight alone."""

    def score(self, state: UpstreamState) -> float:
        """Returns the score by the estimate over all entries."""


@dataclass(frozen=True)
class RandomChoice:
    """Any upstream with equal chance."""


@dataclass(frozen=True)
class RoundRobin:
    """Each upstream in turn."""

    positions: Iterator[int] = field(default_factory=itertools.count)


@dataclass(frozen=True)
class LeastInFlight:
    """The upstream with the fewest requests of this entry."""


@dataclass(frozen=True)
class TwoChoices:
    """The better of two random upstreams; ``reported`` uses reports of load."""

    reported: bool = False


@dataclass(frozen=True)
class ReportPool:
    """Hot-cold selection: the fastest upstream that is not among the most loaded."""


@dataclass(frozen=True)
class LeastEstimated:
    """The upstream with the lowest estimate over all entries."""


Chooser = (
    RandomChoice | RoundRobin | LeastInFlight | TwoChoices | ReportPool | LeastEstimated
)


def create_chooser(name: ChooserName) -> Chooser:
    """Returns the chooser that a policy names."""
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
    scores: Scores,
    generator: random.Random,
) -> UpstreamState:
    """Returns one of the candidates, of which there is at least one."""
    match chooser:
        case RandomChoice():
            return candidates[int(generator.random() * len(candidates))]
        case RoundRobin(positions=positions):
            return candidates[next(positions) % len(candidates)]
        case LeastInFlight():
            return pick_lowest(
                candidates, [scores.score_own(state) for state in candidates], generator
            )
        case TwoChoices(reported=reported):
            score = scores.score if reported else scores.score_own
            first = candidates[int(generator.random() * len(candidates))]
            second = candidates[int(generator.random() * len(candidates))]
            return first if score(first) <= score(second) else second
        case ReportPool():
            return pick_cold(candidates, scores, generator)
        case LeastEstimated():
            return pick_lowest(
                candidates, [scores.score(state) for state in candidates], generator
            )


def pick_lowest(
    candidates: Sequence[UpstreamState], values: list[float], generator: random.Random
) -> UpstreamState:
    """Returns the candidate with the lowest value, any of them when several have it.

    The search starts at a random position; without that, all entries would send to the
    first upstream of the list whenever it ties.
    """
    start = int(generator.random() * len(values))
    best = start
    for position in itertools.chain(range(start, len(values)), range(start)):
        if values[position] < values[best]:
            best = position
    return candidates[best]


def pick_cold(
    candidates: Sequence[UpstreamState], scores: Scores, generator: random.Random
) -> UpstreamState:
    """Returns the fastest candidate whose score is not in the highest quarter."""
    values = [scores.score(state) for state in candidates]
    threshold = sorted(values)[int(HOT_QUANTILE * (len(values) - 1))]
    cold = [
        state
        for state, value in zip(candidates, values, strict=True)
        if value <= threshold
    ]
    return pick_lowest(cold, [state.slowness for state in cold], generator)
