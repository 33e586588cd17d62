"""Rendezvous order of agents."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def order_instances(instances: Iterable[str], topic: str) -> list[str]:
    """Returns the instances in rendezvous order for a topic.

    The removal of an instance leaves the order of the others unchanged.
    """
    return sorted(instances, key=lambda instance: compute_weight(instance, topic))


def find_first(instances: Iterable[str], topic: str) -> str:
    """Returns the first instance in rendezvous order for a topic."""
    return min(instances, key=lambda instance: compute_weight(instance, topic))


def compute_weight(instance: str, topic: str) -> bytes:
    """Returns the sort key of an instance for a topic."""
    return hashlib.blake2b(f"{topic}\0{instance}".encode(), digest_size=8).digest()
