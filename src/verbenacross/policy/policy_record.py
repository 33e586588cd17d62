"""A copy of a policy record as the store holds it."""

from __future__ import annotations

from typing import NamedTuple

POLICY_PREFIX = "policies/"


class PolicyRecord(NamedTuple):
    """A copy of a policy record.

    ``revision`` is the store's modification revision. An empty body means that the key
    was deleted, which counts as retired.
    """

    key: str
    revision: int
    body: bytes


def build_key(service: str, version: int) -> str:
    """Returns the store key of a policy version."""
    return f"{POLICY_PREFIX}{service}/{version}"
