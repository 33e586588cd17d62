"""A copy of a policy record from the store, and the format of its key."""

from __future__ import annotations

import re
from typing import NamedTuple

from ..infrastructure.key_value_store import StorePosition

POLICY_PREFIX = "policies/"
KEY_PATTERN = re.compile(r"policies/([a-z0-9][a-z0-9-]{0,62})/([1-9][0-9]{0,17})")


class PolicyRecord(NamedTuple):
    """A copy of a policy record.

    ``revision`` is the store's modification revision, packed with the era in which it
    holds (``StorePosition.pack``). An empty body means that the key was deleted, which
    counts as retired.
    """

    key: str
    revision: int
    body: bytes

    @property
    def position(self) -> StorePosition:
        """The era and the revision of the store's last modification."""
        return StorePosition.unpack(self.revision)


def build_key(service: str, version: int) -> str:
    """Builds the store key of a policy version."""
    return f"{POLICY_PREFIX}{service}/{version}"


def is_key(key: str) -> bool:
    """Returns whether a store key is the key of a policy version."""
    return KEY_PATTERN.fullmatch(key) is not None


def split_key(key: str) -> tuple[str, int]:
    """Splits a key into service and version; raises ``ValueError`` if malformed."""
    match = KEY_PATTERN.fullmatch(key)
    if match is None:
        raise ValueError(f"{key!r} is not the key of a policy version")
    return match[1], int(match[2])
