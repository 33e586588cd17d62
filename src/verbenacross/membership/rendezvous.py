"""Choices that agents make alike without agreement, by hashes of member ids."""

from __future__ import annotations

import functools
import hashlib
from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..protocol.messages import MemberUpdate

RING_LINKS = 2
READER_ROLE = "reader"


@functools.lru_cache(maxsize=65_536)
def hash_text(text: str) -> int:
    """Returns a hash that is equal in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank_members(members: Iterable[MemberUpdate], role: str) -> Sequence[MemberUpdate]:
    """Returns the members in rendezvous order for a role."""
    return sorted(members, key=lambda member: hash_text(f"{role} {member.instance}"))


def choose_readers(
    members: Iterable[MemberUpdate], per_failure_domain: int
) -> set[str]:
    """Returns the ids of the first members in rendezvous order of each domain."""
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

    The ring keeps the overlay connected and every member watched; the random picks
    keep it shallow.
    """
    candidates = sorted(set(others) - {instance}, key=hash_text)
    start = hash_text(instance)
    after = [other for other in candidates if hash_text(other) > start]
    ring = (after + candidates)[: min(ring_links, len(candidates))]
    rest = [other for other in candidates if other not in ring]
    rest.sort(key=lambda other: hash_text(f"{instance} {other}"))
    return {*ring, *rest[: max(0, count - len(ring))]}
