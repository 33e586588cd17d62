"""What the parts of an agent need of the overlay between agents."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from reactivex import Observable

    from ..protocol.messages import MemberUpdate, Message


class PeerMessage(NamedTuple):
    """A message with the instance that sent it on the link."""

    sender: str
    message: Message


class PeerNetwork(Protocol):
    """Overlay between agents.

    ``messages`` emits ``Observations``, ``DirectoryUpdates`` and permit messages that
    arrive; records, digests, heartbeats and members are handled by the network itself.
    ``member_changes`` emits each member whose state changed.
    """

    messages: Observable[PeerMessage]
    member_changes: Observable[MemberUpdate]

    def get_live_members(self) -> Sequence[MemberUpdate]:
        """Returns the live members, this instance included."""

    def is_isolated(self) -> bool:
        """Returns whether no peer has been heard within the liveness timeout."""

    def broadcast(self, message: Message, received_from: str | None = None) -> None:
        """Sends a message on each link but the one it came from; never waits."""

    async def send(self, instance: str, message: Message) -> None:
        """Sends a message to one member, on a direct link that is opened if needed.

        Raises ``PeerUnreachableError`` when it cannot be sent.
        """
