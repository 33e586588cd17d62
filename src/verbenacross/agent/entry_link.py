"""Connection between an agent and one entry process of its instance."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
from websockets.exceptions import ConnectionClosed

from ..protocol import ProtocolError, decode_message, encode_message
from ..protocol.batches import batch_records
from ..protocol.messages import (
    AppliedWatermark,
    DirectoryUpdates,
    EntryHello,
    Message,
    Observations,
    RecordCopies,
    Watermark,
)

if TYPE_CHECKING:
    from websockets.asyncio.server import ServerConnection

    from ..policy import PolicyRecord
    from .agent import Agent

MAX_QUEUED_MESSAGES = 4_096
MAX_OBSERVATIONS_PER_MESSAGE = 1_000

logger = logbook.Logger("verbenacross.agent.entry_link")


class EntryLink:
    """Sends policies, directory and observations to an entry and handles its messages.

    Each direction has its own task. An entry that reads too slowly is disconnected when
    its queue is full; it receives a new snapshot when it reconnects.
    """

    def __init__(self, agent: Agent, connection: ServerConnection) -> None:
        self._agent = agent
        self._connection = connection
        self._queue: asyncio.Queue[Message] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self.entry = ""
        self.applied_revision = 0

    async def run(self) -> None:
        """Serves the entry until the connection closes."""
        try:
            await self._handshake()
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._send_queued())
                tasks.create_task(self._receive())
        except* (ConnectionClosed, ProtocolError) as error:
            logger.info(
                "entry link closed", extra={"entry": self.entry, "error": error}
            )

    def send(self, message: Message) -> None:
        """Queues a message without waiting; a full queue closes the connection."""
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            self._connection.transport.abort()

    def send_record(self, record: PolicyRecord) -> None:
        """Queues a policy record."""
        self.send(RecordCopies((record,)))

    def send_directory(self, updates: DirectoryUpdates) -> None:
        """Queues directory changes."""
        self.send(updates)

    def send_watermark(self, revision: int) -> None:
        """Queues the store revision that the messages before it are complete up to."""
        self.send(Watermark(revision))

    async def _handshake(self) -> None:
        hello = decode_message(await self._connection.recv())
        if not isinstance(hello, EntryHello):
            raise ProtocolError(f"expected EntryHello, got {type(hello).__name__}")
        self.entry = hello.entry
        for batch in batch_records(self._agent.table.get_copies()):
            self.send(batch)
        for part in self._agent.directory.iter_complete_update():
            self.send(part)
        self._send_observations()
        if self._agent.synchronized:
            self.send_watermark(self._agent.watermark)
        # Registered after the snapshot is queued: a watermark sent ahead of it would
        # claim records that the entry does not have yet.
        self._agent.entry_links.add(self)
        self._agent.in_force_tracker.add(self)

    def _send_observations(self) -> None:
        table = self._agent.upstreams.observations
        observations = tuple(
            table.iter_observations("draining", "ejected", "cold", "load")
        )
        for start in range(0, len(observations), MAX_OBSERVATIONS_PER_MESSAGE):
            self.send(
                Observations(observations[start : start + MAX_OBSERVATIONS_PER_MESSAGE])
            )

    def _handle_upstream_message(self, message: Message) -> None:
        if not self._agent.upstreams.handle_entry_message(message):
            raise ProtocolError(f"unexpected {type(message).__name__}")

    async def _send_queued(self) -> None:
        while True:
            message = await self._queue.get()
            await self._connection.send(encode_message(message))

    async def _receive(self) -> None:
        async for frame in self._connection:
            match decode_message(frame):
                case RecordCopies(records=records):
                    self._agent.progress.merge(records)
                case AppliedWatermark(revision=revision):
                    self._handle_applied_watermark(revision)
                case message:
                    self._handle_upstream_message(message)
        raise ConnectionClosed(None, None)

    def _handle_applied_watermark(self, revision: int) -> None:
        self.applied_revision = max(self.applied_revision, revision)
        # An entry that kept running while the agent restarted has already sent all its
        # records, so the table is complete up to the entry's revision.
        self._agent.progress.advance_to(revision)
        self._agent.in_force_tracker.update()
