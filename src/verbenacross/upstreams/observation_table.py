"""Table of unexpired observations of upstreams from all instances."""

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
# An age does not include time in transit, so an observation expires slightly later
# after each hop. A copy replaces the known one only if it expires later by more than
# this time. Every response of a draining upstream repeats the observation, and each
# accepted repetition is sent to the whole fleet: 10 s limit them to six a minute per
# upstream.
MIN_EXTENSIONS_S: dict[ObservationKind, float] = {
    "draining": 10.0,
    "ejected": 2.0,
    "cold": 2.0,
    "load": 0.0,
}
PURGE_INTERVAL_S = 1.0


class ObservationRecord(NamedTuple):
    """An observation with its times on the local monotonic clock, in seconds."""

    origin: str
    observed_at: float
    expires_at: float
    value: int


class ObservationTable:
    """Observations of upstreams, one for each upstream and kind.

    The observation that expires last is kept, so late, duplicated and reordered copies
    have no effect; of ``load`` observations the newest is kept. Nothing ends an
    observation before it expires, except that the upstream returns at another address.
    The number of observations of each kind is limited; above the limit, the one that
    expires first is evicted. ``changes`` emits the observations that were accepted.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.changes: Subject[tuple[Observation, ...]] = Subject()
        self._clock = clock
        self._records: dict[ObservationKind, dict[str, ObservationRecord]] = {
            kind: {} for kind in MAX_LIFETIMES_MS
        }
        self._purged_at = clock()

    def accepts_requests(self, upstream: str) -> bool:
        """Returns whether an upstream may get new requests: it is not draining."""
        return self._get_unexpired("draining", upstream) is None

    def is_ejected(self, upstream: str) -> bool:
        """Returns whether an instance ejected the upstream because of failures."""
        return self._get_unexpired("ejected", upstream) is not None

    def is_cold(self, upstream: str) -> bool:
        """Returns whether the upstream has started recently."""
        return self._get_unexpired("cold", upstream) is not None

    def get_cold_age_ms(self, upstream: str) -> float | None:
        """Returns the milliseconds since the cold start, ``None`` if not cold."""
        record = self._get_unexpired("cold", upstream)
        if record is None:
            return None
        return (self._clock() - record.observed_at) * MS_PER_S

    def get_load(self, upstream: str) -> int | None:
        """Returns the requests in flight that a probe reported, ``None`` if unknown."""
        record = self._get_unexpired("load", upstream)
        return None if record is None else record.value

    def get_draining(self) -> set[str]:
        """Returns the upstreams that are draining and may get no new requests."""
        now = self._clock()
        return {
            key
            for key, record in self._records["draining"].items()
            if now < record.expires_at
        }

    def merge(self, observations: Iterable[Observation]) -> tuple[Observation, ...]:
        """Merges observations and returns those that were accepted."""
        accepted = tuple(item for item in observations if self._merge_one(item))
        self._purge()
        if accepted:
            self.changes.on_next(accepted)
        return accepted

    def discard(self, upstream: str) -> None:
        """Discards all observations of an upstream that is now another server."""
        for records in self._records.values():
            records.pop(upstream, None)

    def iter_observations(self, *kinds: ObservationKind) -> Iterator[Observation]:
        """Yields the unexpired observations of some kinds with their current age."""
        now = self._clock()
        for kind in kinds:
            for upstream, record in self._records[kind].items():
                if now < record.expires_at:
                    yield build_observation(kind, upstream, record, now)

    def count_by_kind(self) -> dict[str, int]:
        """Returns the number of observations of each kind."""
        return {kind: len(records) for kind, records in self._records.items()}

    def _get_unexpired(
        self, kind: ObservationKind, upstream: str
    ) -> ObservationRecord | None:
        record = self._records[kind].get(upstream)
        if record is None or self._clock() >= record.expires_at:
            return None
        return record

    def _merge_one(self, observation: Observation) -> bool:
        now = self._clock()
        kind = observation.kind
        lifetime_ms = min(observation.lifetime_ms, MAX_LIFETIMES_MS[kind])
        observed_at = now - observation.age_ms / MS_PER_S
        expires_at = observed_at + lifetime_ms / MS_PER_S
        if expires_at <= now:
            return False
        records = self._records[kind]
        known = records.get(observation.upstream)
        if known is not None and not supersedes(kind, known, observed_at, expires_at):
            return False
        records[observation.upstream] = ObservationRecord(
            observation.origin, observed_at, expires_at, observation.value
        )
        if len(records) > MAX_OBSERVATIONS[kind]:
            del records[min(records, key=lambda key: records[key].expires_at)]
        return True

    def _purge(self) -> None:
        now = self._clock()
        if now - self._purged_at < PURGE_INTERVAL_S:
            return
        self._purged_at = now
        for records in self._records.values():
            for upstream in [
                key for key, record in records.items() if now >= record.expires_at
            ]:
                del records[upstream]


def supersedes(
    kind: ObservationKind,
    known: ObservationRecord,
    observed_at: float,
    expires_at: float,
) -> bool:
    """Returns whether an observation replaces the known one."""
    if kind == "load":
        return observed_at > known.observed_at
    return expires_at > known.expires_at + MIN_EXTENSIONS_S[kind]


def build_observation(
    kind: ObservationKind, upstream: str, record: ObservationRecord, now: float
) -> Observation:
    """Builds the message of an observation, with ages and lifetimes in milliseconds."""
    return Observation(
        upstream,
        record.origin,
        kind,
        max(0, round((now - record.observed_at) * MS_PER_S)),
        max(0, round((record.expires_at - record.observed_at) * MS_PER_S)),
        record.value,
    )
