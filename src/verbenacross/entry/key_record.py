"""Record that is stored for an idempotency key."""

from __future__ import annotations

from typing import Literal, NamedTuple

KeyState = Literal["unknown", "ran"]


class KeyRecord(NamedTuple):
    """Record that is stored for an idempotency key.

    ``claim`` is unique to a request, so that the entry that wrote a record recognises
    it when the store's response was lost.
    """

    claim: str
    instance: str
    state: KeyState = "unknown"
