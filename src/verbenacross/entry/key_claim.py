"""An idempotency key that this entry holds."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from .key_record import KeyRecord


class KeyClaim(NamedTuple):
    """An idempotency key that this entry holds, at a revision of the store."""

    store_key: str
    record: KeyRecord
    revision: int
    lease: str
