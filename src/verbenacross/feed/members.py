"""Members of the fleet, and which of them read the store for the others."""

from __future__ import annotations

import hashlib
import json
from typing import NamedTuple

from .exceptions import FeedError


class Member(NamedTuple):
    """An instance of the fleet, as registered in the store."""

    instance: str
    address: str
    failure_domain: str

    @classmethod
    def from_data(cls, instance: str, data: bytes) -> Member:
        """Decodes a member's record; raises ``FeedError`` if it is malformed."""
        try:
            fields = json.loads(data)
            return cls(instance, str(fields["address"]), str(fields["failure_domain"]))
        except (KeyError, TypeError, ValueError) as error:
            raise FeedError(
                f"malformed record of member {instance!r}: {error!r}"
            ) from error

    def to_data(self) -> bytes:
        """Encodes the member as the value of its record."""
        fields = {"address": self.address, "failure_domain": self.failure_domain}
        return json.dumps(fields).encode()


def rank(member: Member) -> bytes:
    """Returns the sort key of a member: a hash that is the same on every instance."""
    return hashlib.blake2b(member.instance.encode(), digest_size=8).digest()


def select_readers(members: list[Member]) -> list[Member]:
    """Returns the members that read the store: the first by rank of each domain."""
    readers: dict[str, Member] = {}
    for member in sorted(members, key=rank):
        readers.setdefault(member.failure_domain, member)
    return list(readers.values())


def order_sources(members: list[Member], own: Member) -> list[Member]:
    """Returns the members that an instance may subscribe to, in order of preference.

    Readers come first, those of the same failure domain before others. All other
    members follow by rank, so that the next one replaces a failed reader.
    """
    readers = {reader.instance for reader in select_readers(members)}

    def get_preference(member: Member) -> tuple[bool, bool, bytes]:
        is_remote = member.failure_domain != own.failure_domain
        # Each instance orders readers differently, which spreads second subscriptions.
        reader_order = hashlib.blake2b(
            (own.instance + member.instance).encode(), digest_size=8
        ).digest()
        is_reader = member.instance in readers
        return not is_reader, is_remote, reader_order if is_reader else rank(member)

    others = [member for member in members if member.instance != own.instance]
    return sorted(others, key=get_preference)
