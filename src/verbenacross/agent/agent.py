"""The agent process: control of one instance."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any

import aiohttp
import logbook
from aioprometheus import Registry
from websockets.asyncio.server import ServerConnection, serve

from ..observability import AdminServer
from ..platform import HttpInstanceList, HttpKeyValueStore
from ..policy import PolicyTable
from ..protocol.codec import MAX_MESSAGE_BYTES
from ..upstreams import UpstreamDirectory
from .entry_link import EntryLink
from .solo_network import SoloNetwork
from .store_reader import StoreReader
from .upstream_knowledge import UpstreamKnowledge

if TYPE_CHECKING:
    from ..peers import PeerNetwork
    from ..platform import InstanceList, KeyValueStore
    from ..protocol.messages import Message
    from ..settings import AgentSettings

logger = logbook.Logger("verbenacross.agent")


class Agent:
    """Control of one instance: records, directory and links to its entries."""

    def __init__(
        self, settings: AgentSettings, store: KeyValueStore, instances: InstanceList
    ) -> None:
        self.settings = settings
        self.table = PolicyTable()
        self.directory = UpstreamDirectory()
        self.registry = Registry()
        self.entry_links: set[EntryLink] = set()
        self.synchronized = False
        self.watermark = 0
        # An overlay without peers; an agent with peers replaces it.
        self.network: PeerNetwork = SoloNetwork(settings)
        self._instances = instances
        self._store = store
        self.knowledge: UpstreamKnowledge | None = None
        self._reader = StoreReader(store, self.table, self.raise_watermark)
        self._stopping = asyncio.Event()
        self.table.changes.subscribe(self._spread_record)
        self.directory.changes.subscribe(self._spread_directory)

    @classmethod
    async def run_from_config(cls, settings: AgentSettings) -> None:
        """Runs an agent until it is told to stop."""
        async with AsyncExitStack() as stack:
            session = await stack.enter_async_context(aiohttp.ClientSession())
            agent = cls(
                settings,
                HttpKeyValueStore(session, settings.store_url),
                HttpInstanceList(session, settings.list_url),
            )
            asyncio.get_running_loop().add_signal_handler(15, agent.stop)
            await agent.run(stack)

    async def run(self, stack: AsyncExitStack) -> None:
        """Serves entries and follows the platform until stopped."""
        await stack.enter_async_context(AdminServer(self, self.settings.admin_listen))
        await stack.enter_async_context(
            serve(
                self._serve_entry,
                self.settings.entry_listen.host,
                self.settings.entry_listen.port,
                max_size=MAX_MESSAGE_BYTES,
            )
        )
        tasks = [
            asyncio.create_task(self._reader.run()),
        ]
        for task in tasks:
            stack.callback(task.cancel)
        self.knowledge = self._build_knowledge()
        knowledge_task = asyncio.create_task(self.knowledge.run())
        stack.push_async_callback(cancel_task, knowledge_task)
        logger.info("agent started", extra={"instance": self.settings.instance})
        await self._stopping.wait()

    def stop(self) -> None:
        """Ends the process."""
        self._stopping.set()

    def is_ready(self) -> bool:
        """Returns whether the agent has synchronised and is not stopping."""
        return self.synchronized and not self._stopping.is_set()

    def raise_watermark(self, revision: int) -> None:
        """Notes that the table is complete up to a store revision."""
        if self.synchronized and revision <= self.watermark:
            return
        self.synchronized = True
        self.watermark = max(self.watermark, revision)
        for link in self.entry_links:
            link.send_watermark(self.watermark)

    def get_in_force(self) -> int:
        """Returns the store revision that every entry of this instance has applied."""
        applied = [link.applied_revision for link in self.entry_links]
        return min([self.watermark, *applied])

    def dump_state(self) -> dict[str, Any]:
        """Returns the state of the process as a JSON object."""
        return {
            "instance": self.settings.instance,
            "synchronized": self.synchronized,
            "watermark": self.watermark,
            "in_force": self.get_in_force(),
            "records": {
                key: {
                    "latest": record.revision,
                    "valid": self.table.valid[key].revision
                    if key in self.table.valid
                    else None,
                }
                for key, record in self.table.latest.items()
            },
            "findings": [
                str(finding)
                for findings in self.table.findings.values()
                for finding in findings
            ],
            "directory": [
                instance._asdict() for instance in self.directory.instances.values()
            ],
            "knowledge": self.knowledge.dump_state() if self.knowledge else {},
            "entries": {link.entry: link.applied_revision for link in self.entry_links},
        }

    async def _serve_entry(self, connection: ServerConnection) -> None:
        link = EntryLink(self, connection)
        self.entry_links.add(link)
        try:
            await link.run()
        finally:
            self.entry_links.discard(link)

    def _build_knowledge(self) -> UpstreamKnowledge:
        return UpstreamKnowledge(
            self.settings,
            self.network,
            self._store,
            self._instances,
            self.table,
            self.directory,
            self.registry,
            self._send_to_entries,
        )

    def _send_to_entries(self, message: Message) -> None:
        for link in self.entry_links:
            link.send(message)

    def _spread_record(self, record: Any) -> None:
        for link in self.entry_links:
            link.send_record(record)

    def _spread_directory(self, updates: Any) -> None:
        for link in self.entry_links:
            link.send_directory(updates)


async def cancel_task(task: asyncio.Task[None]) -> None:
    """Cancels a task and waits until it has released what it holds."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
