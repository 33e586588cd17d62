"""Link of an entry to the agent of its instance."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import logbook
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
    RecordCopies,
    Watermark,
)

if TYPE_CHECKING:
    from websockets.asyncio.client import ClientConnection

    from ..policy import PolicyTable
    from ..settings import EntrySettings
    from ..upstreams import UpstreamDirectory

MAX_RECONNECT_DELAY_S = 0.5
PING_INTERVAL_S = 1.0

logger = logbook.Logger("verbenacross.entry.agent_link")


class AgentLink:
    """Keeps policies and directory of an entry up to date from its agent.

    While the agent is away the entry goes on with what it knows.
    """

    def __init__(
        self, settings: EntrySettings, table: PolicyTable, directory: UpstreamDirectory
    ) -> None:
        self._settings = settings
        self._table = table
        self._directory = directory
        self.connected = False
        self.synchronized = False
        self.watermark = 0

    async def run(self) -> None:
        """Connects to the agent again and again."""
        while True:
            try:
                await self._follow()
            except (OSError, WebSocketException, ProtocolError) as error:
                logger.warning("agent link closed: {!r}", error)
            self.connected = False
            await asyncio.sleep(random.uniform(0, MAX_RECONNECT_DELAY_S))

    async def _follow(self) -> None:
        async with connect(
            f"ws://{self._settings.agent}",
            max_size=MAX_MESSAGE_BYTES,
            proxy=None,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_INTERVAL_S,
        ) as connection:
            hello = EntryHello(PROTOCOL_VERSION, self._settings.instance)
            await connection.send(encode_message(hello))
            await self._send_known(connection)
            self.connected = True
            async for frame in connection:
                await self._take(connection, frame)

    async def _send_known(self, connection: ClientConnection) -> None:
        """Sends what this entry has in force to an agent that may have restarted."""
        if not self.synchronized:
            return
        for batch in batch_records(self._table.get_copies()):
            await connection.send(encode_message(batch))
        await connection.send(encode_message(AppliedWatermark(self.watermark)))

    async def _take(self, connection: ClientConnection, frame: bytes | str) -> None:
        match decode_message(frame):
            case RecordCopies(records=records):
                self._table.put_all(records)
            case DirectoryUpdates() as updates:
                self._directory.apply(updates)
            case Watermark(revision=revision):
                self.synchronized = True
                self.watermark = max(self.watermark, revision)
                await connection.send(encode_message(AppliedWatermark(self.watermark)))
            case message:
                raise ProtocolError(f"unexpected {type(message).__name__}")
