"""Gossips member updates over links within a byte budget."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..protocol import encode_compressed
from ..protocol.messages import MemberUpdates

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..protocol.messages import MemberUpdate
    from .member_table import MemberTable

MAX_BATCH_UPDATES = 32
MAX_BURST_S = 1.0


class GossipLink(Protocol):
    """A link that queues encoded messages without waiting."""

    def send_frame(self, frame: bytes) -> None:
        """Queues an encoded message."""


class MemberGossip:
    """Queues members for each link and sends them at a limited rate.

    A token bucket limits the bytes sent on all links together. State changes are sent
    before refreshes of ``in_force``. A queue holds instance ids only and the member's
    latest state is read when a batch is sent, so the queue is bounded by the number of
    members. An update is not sent back to the peer that it came from.
    """

    def __init__(self, table: MemberTable, bytes_per_second: int) -> None:
        self._table = table
        self._bytes_per_second = bytes_per_second
        self._tokens = float(bytes_per_second)
        self._change_queues: dict[GossipLink, dict[str, None]] = {}
        self._refresh_queues: dict[GossipLink, dict[str, None]] = {}
        self._source: GossipLink | None = None
        self.sent_bytes = 0
        table.state_changes.subscribe(self._queue_change)
        table.updates.subscribe(self._queue_refresh)

    def add_link(self, link: GossipLink) -> None:
        """Registers a link and queues the local member for it."""
        self._change_queues[link] = {self._table.local.instance: None}
        self._refresh_queues[link] = {}

    def remove_link(self, link: GossipLink) -> None:
        """Unregisters a link and drops its queues."""
        self._change_queues.pop(link, None)
        self._refresh_queues.pop(link, None)

    def queue(self, link: GossipLink, instance: str) -> None:
        """Queues one member for a link."""
        if link in self._change_queues:
            self._change_queues[link][instance] = None

    def queue_all(self, link: GossipLink) -> None:
        """Queues every member for a link whose peer has a different member digest."""
        if link in self._refresh_queues:
            self._refresh_queues[link].update(dict.fromkeys(self._table.members))

    def receive(
        self, link: GossipLink, updates: Iterable[MemberUpdate], now: float
    ) -> None:
        """Merges updates received on a link; queues newer states as a reply."""
        if link not in self._change_queues:
            return
        self._source = link
        for update in updates:
            self._table.merge(update, now)
            self._queue_reply(link, update, self._table.members[update.instance])
        self._source = None

    def _queue_reply(
        self, link: GossipLink, update: MemberUpdate, known: MemberUpdate
    ) -> None:
        if known == update:
            self._remove_from_queues(link, update.instance)
        elif known == update._replace(in_force=known.in_force):
            self._refresh_queues[link][update.instance] = None
        else:
            self._change_queues[link][update.instance] = None

    def send_queued(self, elapsed_s: float) -> None:
        """Sends queued members while tokens last; call this several times a second."""
        rate = self._bytes_per_second
        self._tokens = min(self._tokens + rate * elapsed_s, rate * MAX_BURST_S)
        for queues in (self._change_queues, self._refresh_queues):
            # Rotates the order of the links, so that no link starves.
            for link in list(queues):
                while self._tokens > 0 and queues[link]:
                    self._send_batch(link, queues[link])
                    queues[link] = queues.pop(link)

    def _send_batch(self, link: GossipLink, queue: dict[str, None]) -> None:
        instances = list(queue)[:MAX_BATCH_UPDATES]
        members = self._table.members
        for instance in instances:
            self._remove_from_queues(link, instance)
        known = tuple(members[each] for each in instances if each in members)
        frame = encode_compressed(MemberUpdates(known))
        link.send_frame(frame)
        self._tokens -= len(frame)
        self.sent_bytes += len(frame)

    def _remove_from_queues(self, link: GossipLink, instance: str) -> None:
        self._change_queues[link].pop(instance, None)
        self._refresh_queues[link].pop(instance, None)

    def _queue_change(self, member: MemberUpdate) -> None:
        for link, queue in self._change_queues.items():
            if (
                link is not self._source
                or member.instance == self._table.local.instance
            ):
                queue[member.instance] = None

    def _queue_refresh(self, member: MemberUpdate) -> None:
        for link, queue in self._refresh_queues.items():
            if (
                link is not self._source
                and member.instance not in self._change_queues[link]
            ):
                queue[member.instance] = None
