"""Rendezvous hashing of agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..stable_hash import hash_text

if TYPE_CHECKING:
    from collections.abc import Iterable


def rank_instances(instances: Iterable[str], topic: str) -> list[str]:
    """Returns the instances ranked by rendezvous hashing for a topic.

    Removing an instance does not change the relative order of the others.
    """
    return sorted(instances, key=lambda instance: compute_hash(instance, topic))


def find_preferred(instances: Iterable[str], topic: str) -> str:
    """Returns the instance ranked first by rendezvous hashing for a topic."""
    return min(instances, key=lambda instance: compute_hash(instance, topic))


def compute_hash(instance: str, topic: str) -> bytes:
    """Returns the rendezvous hash of an instance; the lowest hash ranks first."""
    return hash_text(f"{topic}\0{instance}")
