"""Digests by which two agents detect records that differ between them."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .policy_record import PolicyRecord

BUCKET_COUNT = 64
DIGEST_BYTES = 16


class CopyDigests:
    """Incrementally updated digests of the copies in each bucket of keys.

    A bucket's digest is the XOR of the digests of its copies, so the cost of a change
    does not depend on the number of records.
    """

    def __init__(self) -> None:
        self._buckets = [0] * BUCKET_COUNT
        self._keys: list[set[str]] = [set() for _ in range(BUCKET_COUNT)]

    def replace(
        self, before: Iterable[PolicyRecord], after: Iterable[PolicyRecord]
    ) -> None:
        """Updates the digests after the copies of one record have been replaced."""
        for record in before:
            self._toggle(record)
        for record in after:
            self._toggle(record)
            self._keys[choose_bucket(record.key)].add(record.key)

    def build_table_digest(self) -> bytes:
        """Computes the digest of all copies."""
        return hashlib.blake2b(
            b"".join(self.build_bucket_digests()), digest_size=DIGEST_BYTES
        ).digest()

    def build_bucket_digests(self) -> tuple[bytes, ...]:
        """Returns the digest of each bucket."""
        return tuple(value.to_bytes(DIGEST_BYTES, "big") for value in self._buckets)

    def get_keys(self, bucket: int) -> Iterable[str]:
        """Returns the keys in a bucket."""
        return self._keys[bucket]

    def _toggle(self, record: PolicyRecord) -> None:
        self._buckets[choose_bucket(record.key)] ^= hash_copy(record)


def choose_bucket(key: str) -> int:
    """Returns the bucket that holds a key."""
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


def hash_copy(record: PolicyRecord) -> int:
    """Returns the digest of one copy as an integer."""
    head = f"{record.key} {record.revision} ".encode()
    digest = hashlib.blake2b(head + record.body, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")
