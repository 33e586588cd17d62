"""Overlay of an agent without peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from reactivex.subject import Subject

from ..peers.exceptions import PeerUnreachableError
from ..protocol.messages import MemberUpdate

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..peers import PeerMessage
    from ..protocol.messages import Message
    from ..settings import AgentSettings


class SoloNetwork:
    """Implements ``PeerNetwork`` for an agent whose only member is itself."""

    def __init__(self, settings: AgentSettings) -> None:
        self.messages: Subject[PeerMessage] = Subject()
        self.member_changes: Subject[MemberUpdate] = Subject()
        self._members = (
            MemberUpdate(
                settings.instance,
                0,
                str(settings.peer_address),
                settings.failure_domain,
                "alive",
                0,
            ),
        )

    def get_alive(self) -> Sequence[MemberUpdate]:
        """Returns the only member."""
        return self._members

    def is_isolated(self) -> bool:
        """Returns true: there is no peer."""
        return True

    def broadcast(self, message: Message, received_from: str | None = None) -> None:
        """Does nothing: there is no link."""

    async def send(self, instance: str, message: Message) -> None:
        """Raises ``PeerUnreachableError``: there is no peer."""
        raise PeerUnreachableError(f"instance {instance!r} is not a member")
