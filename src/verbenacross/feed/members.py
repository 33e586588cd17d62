"""Other instances of the system and who reads the store for whom."""

from __future__ import annotations

import hashlib
import json
from typing import NamedTuple

from .exceptions import FeedError


class Member(NamedTuple):
    """An instance of the system."""

    instance: str
    address: str
    failure_domain: str

    @classmethod
    def from_data(cls, instance: str, data: bytes) -> Member:
        """Returns the member in a record; raises ``FeedError`` if it is malformed."""
        try:
            fields = json.loads(data)
            return cls(instance, str(fields["address"]), str(fields["failure_domain"]))
        except (KeyError, TypeError, ValueError) as error:
            raise FeedError(f"record of {instance!r}: {error!r}") from error

    def to_data(self) -> bytes:
        """Returns the content of the member's record."""
        fields = {"address": self.address, "failure_domain": self.failure_domain}
        return json.dumps(fields).encode()


def rank(member: Member) -> bytes:
    """Returns the place of a member, the same on every instance."""
    return hashlib.blake2b(member.instance.encode(), digest_size=8).digest()


def find_readers(members: list[Member]) -> list[Member]:
    """Returns the instances that read the store: the first of each failure domain."""
    readers: dict[str, Member] = {}
    for member in sorted(members, key=rank):
        readers.setdefault(member.failure_domain, member)
    return list(readers.values())


def order_sources(members: list[Member], own: Member) -> list[Member]:
    """Returns whom an instance subscribes to, best first.

    First the readers, the own failure domain's before others, then all others, so that
    the next in line stands in for a reader that is gone.
    """
    readers = {reader.instance for reader in find_readers(members)}

    def get_order(member: Member) -> tuple[bool, bool, bytes]:
        is_remote = member.failure_domain != own.failure_domain
        # Each instance starts at another place, which spreads the second subscriptions.
        spread = hashlib.blake2b(
            (own.instance + member.instance).encode(), digest_size=8
        ).digest()
        is_reader = member.instance in readers
        return not is_reader, is_remote, spread if is_reader else rank(member)

    others = [member for member in members if member.instance != own.instance]
    return sorted(others, key=get_order)
