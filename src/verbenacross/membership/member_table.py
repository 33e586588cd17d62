"""Membership table: the state of every agent as one agent knows it."""

from __future__ import annotations

import hashlib
import time
from typing import TYPE_CHECKING

from reactivex.subject import Subject

from ..protocol.messages import MemberUpdate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..protocol.messages import MemberState

SUSPICION_TIMEOUT_S = 2.0
SUSPICION_BACKOFF_S = 10.0
DEAD_RETENTION_S = 600.0
STATE_RANKS: dict[MemberState, int] = {
    "alive": 0,
    "suspect": 1,
    "leaving": 2,
    "dead": 3,
}
LIVE_STATES = ("alive", "suspect")
DIGEST_BYTES = 8
MS_PER_S = 1_000


class MemberTable:
    """Members by instance id, merged by incarnation and then by state.

    ``updates`` emits every changed member. ``state_changes`` emits a member when any
    field other than ``in_force`` changed; ``version`` counts these changes. Times are
    seconds of the monotonic clock. Only the member itself raises its incarnation,
    which is how it refutes a suspicion.
    """

    def __init__(self, local: MemberUpdate) -> None:
        self.local = local
        self.members: dict[str, MemberUpdate] = {local.instance: local}
        self.updates: Subject[MemberUpdate] = Subject()
        self.state_changes: Subject[MemberUpdate] = Subject()
        self.version = 0
        self._digest = hash_member(local)
        self._suspicion_deadlines: dict[str, float] = {}
        self._local_suspicions: set[str] = set()
        self._backoff_deadlines: dict[str, float] = {}
        self._departed_at: dict[str, float] = {}

    def get_live_members(self) -> list[MemberUpdate]:
        """Returns the alive and suspect members, including the local one."""
        return [
            member for member in self.members.values() if member.state in LIVE_STATES
        ]

    def merge(self, update: MemberUpdate, now: float) -> bool:
        """Merges an update from another agent; returns whether the table changed."""
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
        """Merges member updates from another agent."""
        for update in updates:
            self.merge(update, now)

    def suspect(self, instance: str, now: float) -> bool:
        """Marks an alive member that this agent cannot reach as suspect.

        Returns whether the state changed. A member that refuted a suspicion of this
        agent is not suspected again for ``SUSPICION_BACKOFF_S``: other agents reach
        it, and only the path from this agent is broken.
        """
        known = self.members.get(instance)
        if known is None or known.state != "alive" or instance == self.local.instance:
            return False
        if now < self._backoff_deadlines.get(instance, 0.0):
            return False
        self._local_suspicions.add(instance)
        self._store(known._replace(state="suspect"), now)
        return True

    def expire(self, now: float) -> None:
        """Marks timed-out suspects dead and evicts members after their retention."""
        for instance, deadline in list(self._suspicion_deadlines.items()):
            if now >= deadline:
                self._store(self.members[instance]._replace(state="dead"), now)
        for instance, departed_at in list(self._departed_at.items()):
            if now - departed_at > DEAD_RETENTION_S:
                del self._departed_at[instance]
                self._digest ^= hash_member(self.members.pop(instance))

    def restart_suspicion_timers(self, now: float) -> None:
        """Restarts the timeout of every suspect, after this process was paused."""
        for instance in self._suspicion_deadlines:
            self._suspicion_deadlines[instance] = now + SUSPICION_TIMEOUT_S

    def update_local(self, state: MemberState, in_force: int) -> None:
        """Updates the state and revision that are announced for the local member."""
        changed = self.local._replace(state=state, in_force=in_force)
        if changed != self.local:
            self._store_local(changed)

    def build_digest(self) -> bytes:
        """Returns a digest of all members."""
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
        if member.state != "suspect" and instance in self._local_suspicions:
            self._local_suspicions.remove(instance)
            self._backoff_deadlines[instance] = now + SUSPICION_BACKOFF_S
        is_new_incarnation = (
            previous is None or previous.incarnation != member.incarnation
        )
        if member.state != "suspect" or is_new_incarnation:
            self._suspicion_deadlines.pop(instance, None)
        if member.state == "suspect":
            self._suspicion_deadlines.setdefault(instance, now + SUSPICION_TIMEOUT_S)
        if member.state in LIVE_STATES:
            self._departed_at.pop(instance, None)
        else:
            self._departed_at.setdefault(instance, now)
            self._backoff_deadlines.pop(instance, None)
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
    """Returns a member's hash; the digest of a table is the XOR of these."""
    content = repr(tuple(member)).encode()
    digest = hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def get_precedence(member: MemberUpdate) -> tuple[int, int, str, str]:
    """Returns the sort key of a member record; of two records, the higher is newer."""
    rank = STATE_RANKS[member.state]
    return member.incarnation, rank, member.address, member.failure_domain


def merge_members(first: MemberUpdate, second: MemberUpdate) -> MemberUpdate:
    """Merges two records of the same member.

    The newer record wins; of the same incarnation, the higher ``in_force`` is kept.
    """
    newer = max(first, second, key=get_precedence)
    if first.incarnation != second.incarnation:
        return newer
    return newer._replace(in_force=max(first.in_force, second.in_force))
