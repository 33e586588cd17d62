"""Synchronises the instance list between agents."""

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
from .list_change_detector import ListChangeDetector
from .rendezvous import rank_instances

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
# A full synchronisation of 25,000 instances transfers 2.5 MB, so an agent requests one
# from at most one peer in this interval.
MIN_REQUEST_INTERVAL_S = 3.0
MAX_FORWARDED_ENTRIES = 256

logger = logbook.Logger("verbenacross.agent.directory_sync")


class DirectorySync:
    """Polls the instance list on readers and synchronises the replicas of all agents.

    Changes are broadcast immediately. Every ``DIGEST_INTERVAL_S`` on average, each
    agent sends the digest of its replica on its links; on a mismatch the two agents
    exchange the differing buckets. ``list_reads`` emits the number of valid instances
    after each read of the list.
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
        self._change_detector = ListChangeDetector(replica, settings.instance)
        self._sender = sender
        self.list_reads: Subject[int] = Subject()
        self._last_snapshot: tuple[Instance, ...] | None = None
        self._valid_instances: tuple[Instance, ...] = ()
        self._requested_at = -MIN_REQUEST_INTERVAL_S

    async def run(self) -> None:
        """Polls the list and sends digests until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._poll_list())
            tasks.create_task(self._send_digests())

    def is_list_reader(self) -> bool:
        """Returns whether this agent polls the list for its failure domain."""
        if self._network.is_isolated():
            return True
        local_agents = [
            member.instance
            for member in self._network.get_live_members()
            if member.failure_domain == self._settings.failure_domain
        ]
        count = self._settings.readers_per_failure_domain
        return self._settings.instance in rank_instances(local_agents, "reader")[:count]

    def handle_message(self, received: PeerMessage) -> None:
        """Handles a directory message of a peer; ignores other messages."""
        updates = received.message
        if not isinstance(updates, DirectoryUpdates):
            return
        if updates.digests:
            self._compare_digests(received.sender, updates.digests)
            return
        merged = self._replica.merge(updates.entries)
        if merged and len(merged) <= MAX_FORWARDED_ENTRIES:
            self._broadcast(merged, received.sender)
        if updates.buckets:
            self._send_newer_entries(received.sender, updates)

    def send_digest(self) -> None:
        """Sends the digest of the replica on every link."""
        digest = self._replica.compute_digest()
        self._network.broadcast(self._build_updates(digests=(digest,)))

    async def _poll_list(self) -> None:
        while True:
            should_read = self._replica.is_empty() or self.is_list_reader()
            if should_read:
                await self.read_list()
            else:
                self._change_detector.reset()
            await asyncio.sleep(LIST_POLL_INTERVAL_S)

    async def read_list(self) -> None:
        """Reads the list once, applies its changes and broadcasts them.

        The entries of the first read are not broadcast: digests synchronise them.
        """
        was_empty = self._replica.is_empty()
        try:
            snapshot = await self._instances.read()
        except InstanceListError as error:
            logger.warning("instance list cannot be read: {}", error)
            return
        if snapshot is not self._last_snapshot:
            self._last_snapshot = snapshot
            self._valid_instances = self._filter_valid(snapshot)
        merged = self._change_detector.process(self._valid_instances)
        self.list_reads.on_next(len(self._valid_instances))
        if merged and not was_empty:
            self._broadcast(merged)

    def _filter_valid(self, snapshot: tuple[Instance, ...]) -> tuple[Instance, ...]:
        valid = tuple(
            instance for instance in snapshot if has_valid_identifiers(instance)
        )
        if len(valid) < len(snapshot):
            logger.warning(
                "ignored {} listed instances with an empty or too long field",
                len(snapshot) - len(valid),
            )
        return valid

    def _broadcast(
        self, entries: tuple[DirectoryEntry, ...], received_from: str | None = None
    ) -> None:
        for message in split_entries(entries, self._replica.version):
            self._network.broadcast(message, received_from)

    async def _send_digests(self) -> None:
        while True:
            await asyncio.sleep(DIGEST_INTERVAL_S * random.uniform(0.5, 1.5))
            self.send_digest()

    def _compare_digests(self, sender: str, digests: tuple[int, ...]) -> None:
        if len(digests) == 1:
            if digests[0] != self._replica.compute_digest():
                self._request_entries(sender)
            return
        differing = self._replica.find_differing(digests)
        for buckets in self._group_buckets(differing):
            entries = tuple(
                entry for index in buckets for entry in self._replica.get_bucket(index)
            )
            self._sender.send(
                sender, self._build_updates(entries=entries, buckets=tuple(buckets))
            )

    def _request_entries(self, sender: str) -> None:
        now = time.monotonic()
        if now - self._requested_at < MIN_REQUEST_INTERVAL_S:
            return
        self._requested_at = now
        digests = self._replica.get_bucket_digests()
        self._sender.send(sender, self._build_updates(digests=digests))

    def _send_newer_entries(self, sender: str, updates: DirectoryUpdates) -> None:
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

    def _build_updates(
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


def has_valid_identifiers(instance: Instance) -> bool:
    """Returns whether peers accept the identifiers of an instance in a message."""
    identifiers = (instance.id, instance.service, instance.failure_domain)
    return all(0 < len(text) <= MAX_IDENTIFIER_CHARACTERS for text in identifiers)
