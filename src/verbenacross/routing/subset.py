"""Deterministic subsetting of upstreams within the connection limit."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

MIN_POOL_SIZE = 4
MIN_SUBSET_SIZE = 3


class Subset(NamedTuple):
    """Upstream ids that an entry uses, each with up to ``pool_size`` connections."""

    upstreams: frozenset[str]
    pool_size: int


def select_subset(
    upstreams: Collection[str], peers: Collection[str], own_id: str, connections: int
) -> Subset:
    """Returns the subset of upstreams for the entry with the id ``own_id``.

    ``connections`` is the connection limit of an upstream over all entries. Entries and
    upstreams are ordered by the hashes of their ids; entry i of n uses consecutive
    upstreams, starting at position i * s / n of the s upstreams. Every upstream is used
    by the same number of entries, plus or minus one, and adding or removing an instance
    shifts a subset by about one upstream.
    """
    ordered_entries = sorted({*peers, own_id}, key=hash_identifier)
    ordered_upstreams = sorted(upstreams, key=hash_identifier)
    if not ordered_upstreams:
        return Subset(frozenset(), 1)
    entries = len(ordered_entries)
    size = compute_subset_size(len(ordered_upstreams), entries, connections)
    pool_size = connections // compute_max_sharing_entries(
        size, len(ordered_upstreams), entries
    )
    start = ordered_entries.index(own_id) * len(ordered_upstreams) // entries
    selected = (
        ordered_upstreams[(start + offset) % len(ordered_upstreams)]
        for offset in range(size)
    )
    return Subset(frozenset(selected), max(1, pool_size))


def compute_subset_size(upstreams: int, entries: int, connections: int) -> int:
    """Returns the number of upstreams that each entry uses.

    An entry uses all upstreams while it gets at least ``MIN_POOL_SIZE`` connections to
    each, otherwise fewer, but at least ``MIN_SUBSET_SIZE`` as long as one connection to
    each is within the limit.
    """
    if entries * MIN_POOL_SIZE <= connections:
        return upstreams
    affordable = connections * upstreams // (entries * MIN_POOL_SIZE)
    size = min(upstreams, max(MIN_SUBSET_SIZE, affordable))
    while (
        size > 1 and compute_max_sharing_entries(size, upstreams, entries) > connections
    ):
        size -= 1
    return size


def compute_max_sharing_entries(size: int, upstreams: int, entries: int) -> int:
    """Returns the largest number of entries that share one upstream."""
    if size >= upstreams:
        return entries
    return min(entries, -(-entries * size // upstreams) + 1)


def hash_identifier(identifier: str) -> bytes:
    """Returns a hash of an id that is the same in every process."""
    return hashlib.blake2b(identifier.encode(), digest_size=8).digest()
