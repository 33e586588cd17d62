"""Selects the upstreams that one entry uses, within the connection limit."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

MIN_POOL = 4
MIN_SUBSET = 3


class Subset(NamedTuple):
    """Upstream ids that an entry uses, each with at most ``pool`` connections."""

    upstreams: frozenset[str]
    pool: int


def select_subset(
    upstreams: Collection[str], peers: Collection[str], own: str, connections: int
) -> Subset:
    """Returns the subset of one entry.

    ``connections`` is the limit of an upstream over all entries. Both sides stand in
    order of the hashes of their ids; entry i of n uses the upstreams from position
    i * s / n on. Every upstream is used by the same number of entries, give or take
    one, and one instance more or less shifts a subset by about one upstream.
    """
    ranked = sorted({*peers, own}, key=hash_identifier)
    ordered = sorted(upstreams, key=hash_identifier)
    if not ordered:
        return Subset(frozenset(), 1)
    entries = len(ranked)
    size = count_subset(len(ordered), entries, connections)
    pool = connections // count_users(size, len(ordered), entries)
    start = ranked.index(own) * len(ordered) // entries
    chosen = (ordered[(start + step) % len(ordered)] for step in range(size))
    return Subset(frozenset(chosen), max(1, pool))


def count_subset(upstreams: int, entries: int, connections: int) -> int:
    """Returns how many upstreams an entry uses.

    All of them while each gets ``MIN_POOL`` connections, then fewer, but at least
    ``MIN_SUBSET`` as long as one connection to each is within the limit.
    """
    if entries * MIN_POOL <= connections:
        return upstreams
    wanted = connections * upstreams // (entries * MIN_POOL)
    size = min(upstreams, max(MIN_SUBSET, wanted))
    while size > 1 and count_users(size, upstreams, entries) > connections:
        size -= 1
    return size


def count_users(size: int, upstreams: int, entries: int) -> int:
    """Returns the largest number of entries that use one upstream."""
    if size >= upstreams:
        return entries
    return min(entries, -(-entries * size // upstreams) + 1)


def hash_identifier(identifier: str) -> bytes:
    """Returns the same bytes for an id in every process."""
    return hashlib.blake2b(identifier.encode(), digest_size=8).digest()
