"""Selects the instance that a quota link is opened to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..feed.members import rank, select_readers

if TYPE_CHECKING:
    from ..feed.members import Member


def list_coordinators(members: list[Member], own: Member) -> list[Member]:
    """Returns the members that may coordinate the domain, in order of preference.

    The list ends with the own instance if it is one of them. An instance of a domain
    without members reports to the readers of the others.
    """
    candidates = sorted(
        (member for member in members if member.failure_domain == own.failure_domain),
        key=rank,
    )
    return end_with_own(candidates or sorted(select_readers(members), key=rank), own)


def list_roots(members: list[Member], own: Member) -> list[Member]:
    """Returns the members that may be the root for the coordinator of a domain.

    The list ends with the own instance, which is the root once it reaches no other. A
    coordinator that replaces the reader of its domain cannot reach that one, and the
    other domains use the next reader as well.
    """
    candidates = sorted(select_readers(members), key=rank)
    if own.instance not in {member.instance for member in candidates}:
        candidates = [
            member
            for member in candidates
            if member.failure_domain != own.failure_domain
        ]
        candidates.append(own)
    return end_with_own(candidates, own)


def end_with_own(candidates: list[Member], own: Member) -> list[Member]:
    """Returns the members up to the own instance, all if it is not one of them."""
    for index, member in enumerate(candidates):
        if member.instance == own.instance:
            return candidates[: index + 1]
    return candidates
