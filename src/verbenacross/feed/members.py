"""Instances that may serve records to others, and which of them read the store."""

from __future__ import annotations

import json
import math
from typing import NamedTuple

from ..documents.address import Address
from ..stable_hash import HASH_BYTES, hash_text
from .exceptions import FeedError

# Registered instances of each failure domain: a reader and two that may replace it.
# All others are known only by number, so the traffic of a start grows with the fleet
# and not with its square.
MEMBERS_PER_DOMAIN = 3
# Larger numbers are mistakes of whoever wrote the record.
MAX_INSTANCES = 1_000_000


class Member(NamedTuple):
    """An instance that may serve records to others, as registered in the store.

    ``instances`` is the number of instances that receive the records through it, itself
    included; 0 while it receives them from another member.
    """

    instance: str
    address: str
    failure_domain: str
    link_mbps: float = 0.0
    instances: int = 0

    @classmethod
    def from_data(cls, instance: str, data: bytes) -> Member:
        """Decodes a member's record; raises ``FeedError`` if it is malformed."""
        try:
            fields = json.loads(data)
            member = cls(
                instance,
                str(Address.from_text(fields["address"])),
                str(fields["failure_domain"]),
                float(fields.get("link_mbps", 0.0)),
                max(0, int(fields.get("instances", 1))),
            )
        except (
            AttributeError,
            KeyError,
            OverflowError,
            RecursionError,
            TypeError,
            ValueError,
        ) as error:
            raise FeedError(
                f"malformed record of member {instance!r}: {error!r}"
            ) from error
        if not math.isfinite(member.link_mbps):
            raise FeedError(f"member {instance!r} has no finite link_mbps")
        if member.instances > MAX_INSTANCES:
            raise FeedError(f"member {instance!r} has more than {MAX_INSTANCES}")
        return member

    def to_data(self) -> bytes:
        """Encodes the member as the value of its record."""
        fields = self._asdict()
        del fields["instance"]
        return json.dumps(fields).encode()


def spread(name: str) -> float:
    """Returns a share from 0 to 1 by the hash of a name, to stagger instances."""
    return int.from_bytes(hash_text(name), "big") / float(1 << 8 * HASH_BYTES)


def rank(member: Member) -> tuple[float, bytes]:
    """Returns the sort key of a member, the same on every instance.

    Members with a faster link come first, as they send each change to many others.
    """
    return -member.link_mbps, hash_text(member.instance)


def is_ahead(member: Member, own: Member) -> bool:
    """Returns whether a member of the same failure domain ranks before another one."""
    return (
        member.failure_domain == own.failure_domain
        and member.instance != own.instance
        and rank(member) < rank(own)
    )


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

    def get_preference(member: Member) -> tuple[bool, bool, tuple[float, bytes]]:
        is_remote = member.failure_domain != own.failure_domain
        is_reader = member.instance in readers
        if is_reader:
            # Each instance orders readers differently, which spreads subscriptions.
            return False, is_remote, (0.0, hash_text(own.instance + member.instance))
        return True, is_remote, rank(member)

    others = [member for member in members if member.instance != own.instance]
    return sorted(others, key=get_preference)
