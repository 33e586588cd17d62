"""Hash of a text that is the same in every process, for rendezvous hashing."""

from __future__ import annotations

import hashlib

HASH_BYTES = 8


def hash_text(text: str) -> bytes:
    """Returns a hash that is the same in every process, unlike ``hash``.

    Instances that rank names by it agree on the order without talking to each other,
    and the removal of a name does not change the order of the others.
    """
    return hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
