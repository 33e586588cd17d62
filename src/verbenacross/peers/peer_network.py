"""Interface of the overlay network between agents."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from reactivex import Observable

    from ..protocol.messages import MemberUpdate, Message


class PeerMessage(NamedTuple):
    """A message and the instance of the peer that sent it on its link."""

    sender: str
    message: Message


class PeerNetwork(Protocol):
    """Overlay network between agents.

    ``messages`` emits received ``Observations``, ``DirectoryUpdates`` and permit
    messages; records, digests, heartbeats and member updates are handled by the network
    itself. ``member_changes`` emits each member of which any field other than
    ``in_force`` changed.
    """

    messages: Observable[PeerMessage]
    member_changes: Observable[MemberUpdate]

    def get_live_members(self) -> Sequence[MemberUpdate]:
        """Returns the alive and suspect members, including the local one."""

    def is_isolated(self) -> bool:
        """Returns whether no peer sent anything within the liveness timeout."""

    def broadcast(self, message: Message, received_from: str | None = None) -> None:
        """Queues a message for all peers but ``received_from``, without waiting."""

    async def send(self, instance: str, message: Message) -> None:
        """Queues a message for one member, opening a direct link if there is none.

        Raises ``PeerUnreachableError`` when no link to it is open in time.
        """
