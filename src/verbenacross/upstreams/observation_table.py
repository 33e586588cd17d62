"""What instances saw of upstreams, for as long as it holds."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

from reactivex.subject import Subject

from ..protocol.messages import Observation, ObservationKind

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

MS_PER_S = 1_000
DRAINING_LIFETIME_MS = 30_000
MAX_LIFETIMES_MS: dict[ObservationKind, int] = {
    "draining": DRAINING_LIFETIME_MS,
    "ejected": 30_000,
    "cold": 60_000,
    "load": 5_000,
}
MAX_OBSERVATIONS: dict[ObservationKind, int] = {
    "draining": 4_096,
    "ejected": 4_096,
    "cold": 4_096,
    "load": 25_000,
}
# Times in transit are not part of an age, so each hop ends an observation slightly
# later. A copy counts as news only if it ends later than the known one by this much.
# Every answer of a draining upstream repeats the observation, and each repetition that
# is news floods the fleet: 10 s make it at most six a minute for each upstream.
MIN_EXTENSIONS_S: dict[ObservationKind, float] = {
    "draining": 10.0,
    "ejected": 2.0,
    "cold": 2.0,
    "load": 0.0,
}
PURGE_INTERVAL_S = 1.0


class Held(NamedTuple):
    """An observation with its times on the own monotonic clock, in seconds."""

    origin: str
    observed_at: float
    ends_at: float
    value: int


class ObservationTable:
    """Observations of upstreams, one for each upstream and kind.

    The one that ends last is kept, so late, duplicated and reordered copies have no
    effect. Nothing ends an observation before its lifetime: it ages out, or the
    upstream comes back at another address. ``changes`` emits the observations that
    were news; a ``load`` is news whenever it is newer than the known one. The number
    held of each kind is bounded; when it is reached, the one that ends first goes.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.changes: Subject[tuple[Observation, ...]] = Subject()
        self._clock = clock
        self._held: dict[ObservationKind, dict[str, Held]] = {
            kind: {} for kind in MAX_LIFETIMES_MS
        }
        self._purged_at = clock()

    def accepts_requests(self, upstream: str) -> bool:
        """Returns whether an upstream may get new work: it is not draining."""
        return self._get("draining", upstream) is None

    def is_ejected(self, upstream: str) -> bool:
        """Returns whether an instance ejected the upstream because of failures."""
        return self._get("ejected", upstream) is not None

    def is_cold(self, upstream: str) -> bool:
        """Returns whether the upstream has started recently."""
        return self._get("cold", upstream) is not None

    def get_cold_age_ms(self, upstream: str) -> float | None:
        """Returns the milliseconds since the cold start, ``None`` if not cold."""
        held = self._get("cold", upstream)
        if held is None:
            return None
        return (self._clock() - held.observed_at) * MS_PER_S

    def get_load(self, upstream: str) -> int | None:
        """Returns the requests in flight that a probe found, ``None`` if unknown."""
        held = self._get("load", upstream)
        return None if held is None else held.value

    def find_draining(self) -> set[str]:
        """Returns the upstreams that may get no new work."""
        now = self._clock()
        return {
            key for key, held in self._held["draining"].items() if now < held.ends_at
        }

    def take(self, observations: Iterable[Observation]) -> tuple[Observation, ...]:
        """Takes observations and returns those that were news."""
        news = tuple(item for item in observations if self._take_one(item))
        self._purge()
        if news:
            self.changes.on_next(news)
        return news

    def forget(self, upstream: str) -> None:
        """Drops all observations of an upstream that is no longer the same server."""
        for group in self._held.values():
            group.pop(upstream, None)

    def build(self, *kinds: ObservationKind) -> Iterator[Observation]:
        """Yields the observations of some kinds with their present age."""
        now = self._clock()
        for kind in kinds:
            for upstream, held in self._held[kind].items():
                if now < held.ends_at:
                    yield build_observation(kind, upstream, held, now)

    def count(self) -> dict[str, int]:
        """Returns the number of observations held of each kind."""
        return {kind: len(group) for kind, group in self._held.items()}

    def _get(self, kind: ObservationKind, upstream: str) -> Held | None:
        held = self._held[kind].get(upstream)
        if held is None or self._clock() >= held.ends_at:
            return None
        return held

    def _take_one(self, observation: Observation) -> bool:
        now = self._clock()
        kind = observation.kind
        lifetime_ms = min(observation.lifetime_ms, MAX_LIFETIMES_MS[kind])
        observed_at = now - observation.age_ms / MS_PER_S
        ends_at = observed_at + lifetime_ms / MS_PER_S
        if ends_at <= now:
            return False
        group = self._held[kind]
        known = group.get(observation.upstream)
        if known is not None and not is_news(kind, known, observed_at, ends_at):
            return False
        group[observation.upstream] = Held(
            observation.origin, observed_at, ends_at, observation.value
        )
        if len(group) > MAX_OBSERVATIONS[kind]:
            del group[min(group, key=lambda key: group[key].ends_at)]
        return True

    def _purge(self) -> None:
        now = self._clock()
        if now - self._purged_at < PURGE_INTERVAL_S:
            return
        self._purged_at = now
        for group in self._held.values():
            for upstream in [key for key, held in group.items() if now >= held.ends_at]:
                del group[upstream]


def is_news(
    kind: ObservationKind, known: Held, observed_at: float, ends_at: float
) -> bool:
    """Returns whether an observation says more than the known one."""
    if kind == "load":
        return observed_at > known.observed_at
    return ends_at > known.ends_at + MIN_EXTENSIONS_S[kind]


def build_observation(
    kind: ObservationKind, upstream: str, held: Held, now: float
) -> Observation:
    """Returns the message form of an observation."""
    return Observation(
        upstream,
        held.origin,
        kind,
        max(0, round((now - held.observed_at) * MS_PER_S)),
        max(0, round((held.ends_at - held.observed_at) * MS_PER_S)),
        held.value,
    )
