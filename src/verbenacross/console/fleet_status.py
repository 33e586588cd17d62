"""Status of the fleet as seen by one agent."""

from __future__ import annotations

from typing import NamedTuple

# Entries may still serve callers while their agent is suspected or does not respond.
SERVING_STATES = frozenset({"alive", "suspect", "unreachable"})


class MemberStatus(NamedTuple):
    """State of a member, with the store revision that it has in force."""

    instance: str
    state: str
    failure_domain: str
    in_force: int

    def may_serve_callers(self) -> bool:
        """Returns whether the entries of this instance may still serve callers."""
        return self.state in SERVING_STATES


class FleetStatus(NamedTuple):
    """Status of all members as seen by the agent of ``instance``."""

    instance: str
    watermark: int
    members: tuple[MemberStatus, ...]
    findings: tuple[str, ...]

    def get_serving_members(self) -> list[MemberStatus]:
        """Returns the members whose entries may still serve callers."""
        return [member for member in self.members if member.may_serve_callers()]

    def get_lagging_members(self, revision: int) -> list[MemberStatus]:
        """Returns the serving members that do not have a store revision in force."""
        return [
            member
            for member in self.get_serving_members()
            if member.in_force < revision
        ]
