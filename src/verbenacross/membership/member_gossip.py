"""Spreads what is known of members within a budget of bytes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..protocol import encode_compressed
from ..protocol.messages import MemberUpdates

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..protocol.messages import MemberUpdate
    from .member_table import MemberTable

MAX_BATCH_UPDATES = 32
MAX_SAVED_S = 1.0


class GossipLink(Protocol):
    """A link that takes encoded messages without waiting."""

    def send_frame(self, frame: bytes) -> None:
        """Queues an encoded message."""


class MemberGossip:
    """Queues members for each link and sends them as the budget allows.

    Changes of state go first, refreshes of ``in_force`` after them. A queue holds ids
    only and the newest view is read when a batch is sent, so it stays bounded by the
    number of members. A member that the peer already told of is not sent back.
    """

    def __init__(self, table: MemberTable, bytes_per_second: int) -> None:
        self._table = table
        self._bytes_per_second = bytes_per_second
        self._tokens = float(bytes_per_second)
        self._urgent: dict[GossipLink, dict[str, None]] = {}
        self._refreshes: dict[GossipLink, dict[str, None]] = {}
        self._source: GossipLink | None = None
        self.sent_bytes = 0
        table.state_changes.subscribe(self._queue_change)
        table.updates.subscribe(self._queue_refresh)

    def add_link(self, link: GossipLink) -> None:
        """Starts to send changes on a link."""
        self._urgent[link] = {self._table.local.instance: None}
        self._refreshes[link] = {}

    def remove_link(self, link: GossipLink) -> None:
        """Forgets a link."""
        self._urgent.pop(link, None)
        self._refreshes.pop(link, None)

    def queue(self, link: GossipLink, instance: str) -> None:
        """Queues one member for a link."""
        if link in self._urgent:
            self._urgent[link][instance] = None

    def queue_all(self, link: GossipLink) -> None:
        """Queues every member for a link whose end has another table."""
        if link in self._refreshes:
            self._refreshes[link].update(dict.fromkeys(self._table.members))

    def receive(
        self, link: GossipLink, updates: Iterable[MemberUpdate], now: float
    ) -> None:
        """Takes what the other end of a link knows."""
        if link not in self._urgent:
            return
        self._source = link
        for update in updates:
            self._table.merge(update, now)
            self._answer(link, update, self._table.members[update.instance])
        self._source = None

    def _answer(
        self, link: GossipLink, update: MemberUpdate, known: MemberUpdate
    ) -> None:
        if known == update:
            self._drop(link, update.instance)
        elif known == update._replace(in_force=known.in_force):
            self._refreshes[link][update.instance] = None
        else:
            self._urgent[link][update.instance] = None

    def send_queued(self, elapsed_s: float) -> None:
        """Sends what the budget allows; call it several times a second."""
        rate = self._bytes_per_second
        self._tokens = min(self._tokens + rate * elapsed_s, rate * MAX_SAVED_S)
        for queues in (self._urgent, self._refreshes):
            # Another link comes first each time, so that none starves.
            for link in list(queues):
                while self._tokens > 0 and queues[link]:
                    self._send_batch(link, queues[link])
                    queues[link] = queues.pop(link)

    def _send_batch(self, link: GossipLink, queue: dict[str, None]) -> None:
        instances = list(queue)[:MAX_BATCH_UPDATES]
        members = self._table.members
        for instance in instances:
            self._drop(link, instance)
        known = tuple(members[each] for each in instances if each in members)
        frame = encode_compressed(MemberUpdates(known))
        link.send_frame(frame)
        self._tokens -= len(frame)
        self.sent_bytes += len(frame)

    def _drop(self, link: GossipLink, instance: str) -> None:
        self._urgent[link].pop(instance, None)
        self._refreshes[link].pop(instance, None)

    def _queue_change(self, member: MemberUpdate) -> None:
        for link, queue in self._urgent.items():
            if (
                link is not self._source
                or member.instance == self._table.local.instance
            ):
                queue[member.instance] = None

    def _queue_refresh(self, member: MemberUpdate) -> None:
        for link, queue in self._refreshes.items():
            if link is not self._source and member.instance not in self._urgent[link]:
                queue[member.instance] = None
