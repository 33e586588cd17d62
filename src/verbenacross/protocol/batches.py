"""Batches policy records into messages of a bounded size."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .messages import RecordCopies

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ..policy.policy_record import PolicyRecord

MAX_BATCH_BYTES = 262_144


def batch_records(records: Iterable[PolicyRecord]) -> Iterator[RecordCopies]:
    """Batches records into messages of about ``MAX_BATCH_BYTES`` each.

    A record larger than that is sent in a message of its own.
    """
    batch: list[PolicyRecord] = []
    size = 0
    for record in records:
        if batch and size + len(record.body) > MAX_BATCH_BYTES:
            yield RecordCopies(tuple(batch))
            batch, size = [], 0
        batch.append(record)
        size += len(record.body) + len(record.key)
    if batch:
        yield RecordCopies(tuple(batch))
