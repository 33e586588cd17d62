"""Value of an idempotency key in the store."""

from __future__ import annotations

from typing import Literal, NamedTuple

KeyState = Literal["unknown", "ran"]


class KeyRecord(NamedTuple):
    """Value of an idempotency key in the store.

    ``claim`` differs for each request, so that the entry that wrote a record recognises
    it after a lost answer.
    """

    claim: str
    instance: str
    state: KeyState = "unknown"
