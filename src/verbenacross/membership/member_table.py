"""What an agent knows of all agents."""

from __future__ import annotations

import hashlib
import time
from typing import TYPE_CHECKING

from reactivex.subject import Subject

from ..protocol.messages import MemberUpdate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..protocol.messages import MemberState

SUSPICION_S = 2.0
REFUTED_SUSPICION_PAUSE_S = 10.0
DEAD_RETENTION_S = 600.0
STATE_RANKS: dict[MemberState, int] = {
    "alive": 0,
    "suspect": 1,
    "leaving": 2,
    "dead": 3,
}
PRESENT_STATES = ("alive", "suspect")
DIGEST_BYTES = 8
MS_PER_S = 1_000


class MemberTable:
    """Members by instance id, merged by incarnation and then by state.

    ``updates`` emits each member of which something changed, ``state_changes`` those
    whose state or incarnation changed, which ``version`` counts. Times are seconds of
    the monotonic clock. Only the member itself raises its incarnation, by which it
    refutes a suspicion.
    """

    def __init__(self, local: MemberUpdate) -> None:
        self.local = local
        self.members: dict[str, MemberUpdate] = {local.instance: local}
        self.updates: Subject[MemberUpdate] = Subject()
        self.state_changes: Subject[MemberUpdate] = Subject()
        self.version = 0
        self._digest = hash_member(local)
        self._suspicions: dict[str, float] = {}
        self._refuted: dict[str, float] = {}
        self._ended: dict[str, float] = {}

    def get_present(self) -> list[MemberUpdate]:
        """Returns the members that are alive or only suspected, the local included."""
        return [
            member for member in self.members.values() if member.state in PRESENT_STATES
        ]

    def merge(self, update: MemberUpdate, now: float) -> bool:
        """Takes what another agent knows of a member; returns whether it was new."""
        if update.instance == self.local.instance:
            return self._refute(update)
        known = self.members.get(update.instance)
        if known is None:
            self._store(update, now)
            return True
        merged = merge_members(known, update)
        if merged == known:
            return False
        self._store(merged, now)
        return True

    def merge_all(self, updates: Iterable[MemberUpdate], now: float) -> None:
        """Takes what another agent knows of several members."""
        for update in updates:
            self.merge(update, now)

    def suspect(self, instance: str, now: float) -> bool:
        """Suspects a live member that this agent cannot reach.

        A member that has just refuted a suspicion is not suspected again for a while:
        others reach it, and only the path from here is broken.
        """
        known = self.members.get(instance)
        if known is None or known.state != "alive" or instance == self.local.instance:
            return False
        if now < self._refuted.get(instance, 0.0):
            return False
        self._store(known._replace(state="suspect"), now)
        return True

    def expire(self, now: float) -> None:
        """Declares suspects dead whose time to refute is over; forgets old members."""
        for instance, deadline in list(self._suspicions.items()):
            if now >= deadline:
                self._store(self.members[instance]._replace(state="dead"), now)
        for instance, ended in list(self._ended.items()):
            if now - ended > DEAD_RETENTION_S:
                del self._ended[instance]
                self._digest ^= hash_member(self.members.pop(instance))

    def restart_suspicions(self, now: float) -> None:
        """Gives every suspect its full time again, after this process was paused."""
        for instance in self._suspicions:
            self._suspicions[instance] = now + SUSPICION_S

    def set_local(self, state: MemberState, in_force: int) -> None:
        """Changes what is told of the local member."""
        changed = self.local._replace(state=state, in_force=in_force)
        if changed != self.local:
            self._store_local(changed)

    def build_digest(self) -> bytes:
        """Returns a digest of what is known of every member."""
        return self._digest.to_bytes(DIGEST_BYTES, "big")

    def _refute(self, update: MemberUpdate) -> bool:
        local = self.local
        is_newer = update.incarnation > local.incarnation
        is_worse = STATE_RANKS[update.state] > STATE_RANKS[local.state]
        if not is_newer and not (update.incarnation == local.incarnation and is_worse):
            return False
        now_ms = int(time.time() * MS_PER_S)
        incarnation = max(now_ms, update.incarnation + 1)
        self._store_local(local._replace(incarnation=incarnation))
        return True

    def _store_local(self, changed: MemberUpdate) -> None:
        previous, self.local = self.local, changed
        self._replace(previous, changed)

    def _store(self, member: MemberUpdate, now: float) -> None:
        instance = member.instance
        previous = self.members.get(instance)
        was_suspect = previous is not None and previous.state == "suspect"
        if was_suspect and member.state == "alive":
            self._refuted[instance] = now + REFUTED_SUSPICION_PAUSE_S
        if member.state == "suspect":
            self._suspicions.setdefault(instance, now + SUSPICION_S)
        else:
            self._suspicions.pop(instance, None)
        if member.state in PRESENT_STATES:
            self._ended.pop(instance, None)
        else:
            self._ended.setdefault(instance, now)
            self._refuted.pop(instance, None)
        self._replace(previous, member)

    def _replace(self, previous: MemberUpdate | None, member: MemberUpdate) -> None:
        self.members[member.instance] = member
        self._digest ^= hash_member(member)
        if previous is not None:
            self._digest ^= hash_member(previous)
        self.updates.on_next(member)
        if previous is None or previous._replace(in_force=member.in_force) != member:
            self.version += 1
            self.state_changes.on_next(member)


def hash_member(member: MemberUpdate) -> int:
    """Returns the part of a member in the digest of a table."""
    content = repr(tuple(member)).encode()
    digest = hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def rank_member(member: MemberUpdate) -> tuple[int, int, str, str]:
    """Returns the order of two views of a member; the higher one is newer."""
    rank = STATE_RANKS[member.state]
    return member.incarnation, rank, member.address, member.failure_domain


def merge_members(first: MemberUpdate, second: MemberUpdate) -> MemberUpdate:
    """Returns what two views of a member show together."""
    newer = max(first, second, key=rank_member)
    if first.incarnation != second.incarnation:
        return newer
    return newer._replace(in_force=max(first.in_force, second.in_force))
