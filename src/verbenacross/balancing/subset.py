"""Selects the upstreams that this instance probes first."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

from ..stable_hash import hash_text

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .tracked_upstream import TrackedUpstream

# Smallest subset. Neighbours slow down up to a third of the upstreams at any time, and
# others must remain to choose from.
MIN_SUBSET_SIZE = 5
# Number of instances whose subset an upstream is in, on average. With fewer, some
# upstreams would be in none.
SUBSET_COVERAGE = 8


def compute_rank(instance: str, upstream: str) -> bytes:
    """Returns the rendezvous hash of an upstream for an instance."""
    return hash_text(f"{instance}/{upstream}")


def compute_subset_size(upstreams: int, instances: float) -> int:
    """Returns how many of the upstreams each of the instances probes first."""
    covering = math.ceil(SUBSET_COVERAGE * upstreams / max(1.0, instances))
    return max(MIN_SUBSET_SIZE, covering)


def select_subset(
    upstreams: Sequence[TrackedUpstream], size: int
) -> Sequence[TrackedUpstream]:
    """Returns the ``size`` upstreams that rank first for this instance."""
    if len(upstreams) <= size:
        return upstreams
    return heapq.nsmallest(size, upstreams, key=lambda tracked: tracked.rank)


def count_failure_domains(upstreams: Iterable[TrackedUpstream]) -> int:
    """Returns how many failure domains the upstreams are in."""
    return len({tracked.upstream.failure_domain for tracked in upstreams})
