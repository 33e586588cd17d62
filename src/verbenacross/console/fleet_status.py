"""Status of the fleet as one agent knows it."""

from __future__ import annotations

from typing import NamedTuple

# A suspect may still serve callers, and an agent that does not answer too.
SERVING_STATES = frozenset({"alive", "suspect", "unreachable"})


class MemberStatus(NamedTuple):
    """An agent as the answering agent knows it."""

    instance: str
    state: str
    failure_domain: str
    in_force: int

    def may_serve(self) -> bool:
        """Returns whether entries of this instance may still serve callers."""
        return self.state in SERVING_STATES


class FleetStatus(NamedTuple):
    """Status of the fleet as one agent knows it."""

    instance: str
    watermark: int
    members: tuple[MemberStatus, ...]
    findings: tuple[str, ...]

    def get_serving(self) -> list[MemberStatus]:
        """Returns the members whose entries may serve callers."""
        return [member for member in self.members if member.may_serve()]

    def get_lagging(self, revision: int) -> list[MemberStatus]:
        """Returns the serving members that lack a store revision."""
        return [member for member in self.get_serving() if member.in_force < revision]
