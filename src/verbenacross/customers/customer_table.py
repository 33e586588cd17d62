"""Customers of one configuration version by their API keys."""

from __future__ import annotations

import hashlib
import secrets
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .customer import Customer

# Longer keys are not hashed: no key of a configuration is as long.
MAX_KEY_CHARACTERS = 1_024
DIGEST_BYTES = 16
# Differs between processes, so that a memory dump allows no search for likely keys
# with digests that were computed in advance.
HASH_SECRET = secrets.token_bytes(hashlib.blake2b.MAX_KEY_SIZE)


class CustomerTable:
    """Customers of one configuration version by their API keys.

    Keeps keyed hashes of the keys only. A look-up takes the same time for any number of
    keys, and its duration does not depend on how much of a key is right.
    """

    def __init__(self, customers_by_key: Mapping[str, Customer]) -> None:
        self._by_digest = {
            compute_digest(key): customer for key, customer in customers_by_key.items()
        }
        self.by_name = {
            customer.name: customer for customer in customers_by_key.values()
        }

    @property
    def key_count(self) -> int:
        """Number of API keys."""
        return len(self._by_digest)

    def find(self, key: str) -> Customer | None:
        """Returns the customer that holds a key, ``None`` if no customer does."""
        if not key or len(key) > MAX_KEY_CHARACTERS:
            return None
        return self._by_digest.get(compute_digest(key))


def compute_digest(key: str) -> bytes:
    """Returns the keyed hash of an API key.

    Headers that are not UTF-8 are decoded with surrogates.
    """
    data = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES, key=HASH_SECRET).digest()
