"""Rendezvous hashing: agents select the same members without coordination."""

from __future__ import annotations

import functools
from collections import defaultdict
from typing import TYPE_CHECKING

from .. import stable_hash

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..protocol.messages import MemberUpdate

RING_LINKS = 2
READER_ROLE = "reader"


# The same names are ranked whenever the members change.
hash_text = functools.lru_cache(maxsize=65_536)(stable_hash.hash_text)


def rank_members(members: Iterable[MemberUpdate], role: str) -> Sequence[MemberUpdate]:
    """Returns the members in rendezvous order for a role."""
    return sorted(members, key=lambda member: hash_text(f"{role} {member.instance}"))


def choose_readers(
    members: Iterable[MemberUpdate], per_failure_domain: int
) -> set[str]:
    """Returns the ids of the readers: the first members of each failure domain.

    Members are in rendezvous order; ``per_failure_domain`` limits their number.
    """
    by_domain: dict[str, list[MemberUpdate]] = defaultdict(list)
    for member in members:
        by_domain[member.failure_domain].append(member)
    return {
        member.instance
        for group in by_domain.values()
        for member in rank_members(group, READER_ROLE)[:per_failure_domain]
    }


def choose_links(
    instance: str, others: Iterable[str], count: int, ring_links: int = RING_LINKS
) -> set[str]:
    """Returns the members that an agent connects to: ring successors and random ones.

    The ring keeps the overlay connected and every member monitored; the
    pseudo-random links keep the paths through the overlay short.
    """
    candidates = sorted(set(others) - {instance}, key=hash_text)
    position = hash_text(instance)
    successors = [other for other in candidates if hash_text(other) > position]
    ring = (successors + candidates)[: min(ring_links, len(candidates))]
    remaining = [other for other in candidates if other not in ring]
    remaining.sort(key=lambda other: hash_text(f"{instance} {other}"))
    return {*ring, *remaining[: max(0, count - len(ring))]}
