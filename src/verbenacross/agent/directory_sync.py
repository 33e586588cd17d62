"""Spreads the instance list between agents."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import logbook
from reactivex.subject import Subject

from ..infrastructure.exceptions import InstanceListError
from ..protocol.messages import MAX_IDENTIFIER_CHARACTERS, DirectoryUpdates
from ..upstreams.directory_replica import (
    MAX_ENTRIES_PER_MESSAGE,
    get_precedence,
    split_entries,
)
from .list_reader import ListReader
from .rendezvous import order_instances

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..infrastructure.instance_list import Instance, InstanceList
    from ..peers import PeerMessage, PeerNetwork
    from ..protocol.messages import DirectoryEntry
    from ..settings import AgentSettings
    from ..upstreams.directory_replica import DirectoryReplica
    from .peer_sender import PeerSender

LIST_POLL_INTERVAL_S = 1.0
DIGEST_INTERVAL_S = 5.0
# One synchronisation with 25,000 instances is 2.5 MB, so an agent asks one peer only.
ASK_INTERVAL_S = 3.0
MAX_EAGER_ENTRIES = 256

logger = logbook.Logger("verbenacross.agent.directory_sync")


class DirectorySync:
    """Polls the instance list on readers and keeps the replicas of agents equal.

    Changes are broadcast at once. Every ``DIGEST_INTERVAL_S`` each agent sends its
    digest on its links; on a mismatch the two agents exchange the differing buckets.
    ``readings`` emits the number of listed instances after each reading.
    """

    def __init__(
        self,
        settings: AgentSettings,
        network: PeerNetwork,
        instances: InstanceList,
        replica: DirectoryReplica,
        sender: PeerSender,
    ) -> None:
        self._settings = settings
        self._network = network
        self._instances = instances
        self._replica = replica
        self._reader = ListReader(replica, settings.instance)
        self._sender = sender
        self.readings: Subject[int] = Subject()
        self._last_reading: tuple[Instance, ...] | None = None
        self._usable: tuple[Instance, ...] = ()
        self._asked_at = -ASK_INTERVAL_S

    async def run(self) -> None:
        """Follows the list and the peers until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._poll_list())
            tasks.create_task(self._send_digests())

    def is_reader(self) -> bool:
        """Returns whether this agent reads the list for its failure domain."""
        if self._network.is_isolated():
            return True
        near = [
            member.instance
            for member in self._network.get_alive()
            if member.failure_domain == self._settings.failure_domain
        ]
        count = self._settings.readers_per_failure_domain
        return self._settings.instance in order_instances(near, "reader")[:count]

    def take(self, received: PeerMessage) -> None:
        """Takes a directory message of a peer."""
        updates = received.message
        if not isinstance(updates, DirectoryUpdates):
            return
        if updates.digests:
            self._compare(received.sender, updates.digests)
            return
        taken = self._replica.merge(updates.entries)
        if taken and len(taken) <= MAX_EAGER_ENTRIES:
            self._broadcast(taken, received.sender)
        if updates.buckets:
            self._return_newer(received.sender, updates)

    def send_digest(self) -> None:
        """Sends the digest of the replica on every link."""
        digest = self._replica.compute_digest()
        self._network.broadcast(self._build(digests=(digest,)))

    async def _poll_list(self) -> None:
        while True:
            reads = self._replica.is_empty() or self.is_reader()
            if reads:
                await self.read_list()
            else:
                self._reader.reset()
            await asyncio.sleep(LIST_POLL_INTERVAL_S)

    async def read_list(self) -> None:
        """Reads the list once and spreads what is news."""
        was_empty = self._replica.is_empty()
        try:
            reading = await self._instances.read()
        except InstanceListError as error:
            logger.warning("instance list cannot be read: {}", error)
            return
        if reading is not self._last_reading:
            self._last_reading = reading
            self._usable = self._drop_unusable(reading)
        taken = self._reader.take(self._usable)
        self.readings.on_next(len(self._usable))
        if taken and not was_empty:
            self._broadcast(taken)

    def _drop_unusable(self, reading: tuple[Instance, ...]) -> tuple[Instance, ...]:
        usable = tuple(instance for instance in reading if is_usable(instance))
        if len(usable) < len(reading):
            logger.warning(
                "{} listed instances have an empty or too long field",
                len(reading) - len(usable),
            )
        return usable

    def _broadcast(
        self, entries: tuple[DirectoryEntry, ...], received_from: str | None = None
    ) -> None:
        for message in split_entries(entries, self._replica.version):
            self._network.broadcast(message, received_from)

    async def _send_digests(self) -> None:
        while True:
            await asyncio.sleep(DIGEST_INTERVAL_S * random.uniform(0.5, 1.5))
            self.send_digest()

    def _compare(self, sender: str, digests: tuple[int, ...]) -> None:
        if len(digests) == 1:
            if digests[0] != self._replica.compute_digest():
                self._ask(sender)
            return
        differing = self._replica.find_differing(digests)
        for buckets in self._group_buckets(differing):
            entries = tuple(
                entry for index in buckets for entry in self._replica.get_bucket(index)
            )
            self._sender.send(
                sender, self._build(entries=entries, buckets=tuple(buckets))
            )

    def _ask(self, sender: str) -> None:
        now = time.monotonic()
        if now - self._asked_at < ASK_INTERVAL_S:
            return
        self._asked_at = now
        digests = self._replica.get_bucket_digests()
        self._sender.send(sender, self._build(digests=digests))

    def _return_newer(self, sender: str, updates: DirectoryUpdates) -> None:
        received = {entry.id: entry for entry in updates.entries}
        newer = [
            entry
            for index in updates.buckets
            if index < len(self._replica.get_bucket_digests())
            for entry in self._replica.get_bucket(index)
            if entry.id not in received
            or get_precedence(received[entry.id]) < get_precedence(entry)
        ]
        for message in split_entries(newer, self._replica.version):
            self._sender.send(sender, message)

    def _group_buckets(self, buckets: Iterable[int]) -> Iterable[list[int]]:
        group: list[int] = []
        size = 0
        for index in buckets:
            count = len(self._replica.get_bucket(index))
            if group and size + count > MAX_ENTRIES_PER_MESSAGE:
                yield group
                group, size = [], 0
            group.append(index)
            size += count
        if group:
            yield group

    def _build(
        self,
        entries: tuple[DirectoryEntry, ...] = (),
        digests: tuple[int, ...] = (),
        buckets: tuple[int, ...] = (),
    ) -> DirectoryUpdates:
        return DirectoryUpdates(
            self._replica.version,
            False,
            (),
            (),
            entries=entries,
            digests=digests,
            buckets=buckets,
        )


def is_usable(instance: Instance) -> bool:
    """Returns whether peers accept the instance's texts in a message."""
    texts = (instance.id, instance.service, instance.failure_domain)
    return all(0 < len(text) <= MAX_IDENTIFIER_CHARACTERS for text in texts)
