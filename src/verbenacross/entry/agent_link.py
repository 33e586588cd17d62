"""Connection of an entry to the agent of its instance."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import logbook
from reactivex.subject import Subject
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from ..protocol import ProtocolError, decode_message, encode_message
from ..protocol.batches import batch_records
from ..protocol.codec import MAX_MESSAGE_BYTES
from ..protocol.messages import (
    PROTOCOL_VERSION,
    AppliedWatermark,
    DirectoryUpdates,
    EntryHello,
    Observations,
    PermitGrant,
    RecordCopies,
    Watermark,
)

if TYPE_CHECKING:
    from websockets.asyncio.client import ClientConnection

    from ..policy import PolicyTable
    from ..protocol.messages import Message, Observation, ObservationKind
    from ..settings import EntrySettings
    from ..upstreams import ObservationTable, UpstreamDirectory

MAX_RECONNECT_DELAY_S = 0.5
MAX_QUEUED_MESSAGES = 4_096
MAX_OBSERVATIONS_PER_MESSAGE = 1_000
SHARED_KINDS: tuple[ObservationKind, ...] = ("draining", "ejected", "cold")
PING_INTERVAL_S = 1.0

logger = logbook.Logger("verbenacross.entry.agent_link")


class AgentLink:
    """Keeps the policies, directory and observations of an entry up to date.

    While the agent is unreachable, the entry continues with the state it last received.
    Sends the entry's own observations of upstreams to the agent. ``grants`` emits the
    permits that are received.
    """

    def __init__(
        self,
        settings: EntrySettings,
        table: PolicyTable,
        directory: UpstreamDirectory,
        observations: ObservationTable,
    ) -> None:
        self._settings = settings
        self._table = table
        self._directory = directory
        self._observations = observations
        self._queue: asyncio.Queue[Message] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self._merging = False
        self.grants: Subject[PermitGrant] = Subject()
        self.connected = False
        self.synchronized = False
        self.watermark = 0
        observations.changes.subscribe(self._send_observations)

    def send(self, message: Message) -> bool:
        """Queues a message for the agent; returns ``False`` if it is dropped."""
        if not self.connected or self._queue.full():
            return False
        self._queue.put_nowait(message)
        return True

    async def run(self) -> None:
        """Connects to the agent, and reconnects after errors, until cancelled."""
        while True:
            try:
                await self._run_connection()
            except* (OSError, WebSocketException, ProtocolError) as errors:
                logger.warning("agent link closed: {!r}", errors.exceptions)
            self.connected = False
            await asyncio.sleep(random.uniform(0, MAX_RECONNECT_DELAY_S))

    async def _run_connection(self) -> None:
        async with connect(
            f"ws://{self._settings.agent}",
            max_size=MAX_MESSAGE_BYTES,
            proxy=None,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_INTERVAL_S,
        ) as connection:
            hello = EntryHello(PROTOCOL_VERSION, self._settings.instance)
            await connection.send(encode_message(hello))
            self._queue = asyncio.Queue(MAX_QUEUED_MESSAGES)
            await self._send_current_state(connection)
            self.connected = True
            self._send_observations(
                tuple(self._observations.iter_observations(*SHARED_KINDS))
            )
            async with asyncio.TaskGroup() as tasks:
                sender = tasks.create_task(self._send_queued(connection))
                async for frame in connection:
                    self._process_frame(frame)
                sender.cancel()

    async def _send_current_state(self, connection: ClientConnection) -> None:
        """Sends the policies in force here to an agent that may have restarted."""
        if not self.synchronized:
            return
        for batch in batch_records(self._table.get_copies()):
            await connection.send(encode_message(batch))
        await connection.send(encode_message(AppliedWatermark(self.watermark)))

    async def _send_queued(self, connection: ClientConnection) -> None:
        while True:
            message = await self._queue.get()
            await connection.send(encode_message(message))

    def _send_observations(self, observations: tuple[Observation, ...]) -> None:
        """Sends observations, except those that the agent has just sent."""
        if self._merging:
            return
        for start in range(0, len(observations), MAX_OBSERVATIONS_PER_MESSAGE):
            self.send(
                Observations(observations[start : start + MAX_OBSERVATIONS_PER_MESSAGE])
            )

    def _merge_observations(self, observations: tuple[Observation, ...]) -> None:
        self._merging = True
        try:
            self._observations.merge(observations)
        finally:
            self._merging = False

    def _process_frame(self, frame: bytes | str) -> None:
        match decode_message(frame):
            case RecordCopies(records=records):
                self._table.put_all(records)
            case DirectoryUpdates() as updates:
                self._directory.apply(updates)
            case Watermark(revision=revision):
                self.synchronized = True
                self.watermark = max(self.watermark, revision)
                if not self.send(AppliedWatermark(self.watermark)):
                    raise ProtocolError("the queue of messages to the agent is full")
            case Observations(observations=observations):
                self._merge_observations(observations)
            case PermitGrant() as grant:
                self.grants.on_next(grant)
            case message:
                raise ProtocolError(f"unexpected message {type(message).__name__}")
