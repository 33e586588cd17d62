"""Claim of a request on its idempotency key."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from .key_record import KeyRecord


class KeyClaim(NamedTuple):
    """Claim of a request on its idempotency key.

    ``revision`` is the store revision at which the key was created.
    """

    store_key: str
    record: KeyRecord
    revision: int
    lease: str
