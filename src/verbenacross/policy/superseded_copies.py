"""Recognises copies of policy records that a restored store shows again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .copy_digests import hash_copy

if TYPE_CHECKING:
    from .policy_record import PolicyRecord

MAX_SUPERSEDED_COPIES = 4_096


class SupersededCopies:
    """The copies that were replaced last, in whichever era the store shows them."""

    def __init__(self) -> None:
        self._writes: dict[int, None] = {}

    def add(self, replaced: PolicyRecord, by: PolicyRecord) -> None:
        """Adds a copy that another one replaced, unless both are the same write."""
        write = hash_write(replaced)
        if write == hash_write(by):
            return
        self._writes[write] = None
        if len(self._writes) > MAX_SUPERSEDED_COPIES:
            del self._writes[next(iter(self._writes))]

    def __contains__(self, record: PolicyRecord) -> bool:
        return hash_write(record) in self._writes


def hash_write(record: PolicyRecord) -> int:
    """Returns a digest of key, body and revision, which is the same in every era."""
    return hash_copy(record._replace(revision=record.position.revision))
