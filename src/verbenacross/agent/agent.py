"""The agent process: control of one instance."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any

import aiohttp
import logbook
from aioprometheus import Registry
from websockets.asyncio.server import ServerConnection, serve

from ..infrastructure.http_instance_list import HttpInstanceList
from ..infrastructure.http_key_value_store import HttpKeyValueStore
from ..infrastructure.instance_list import AGENT_SERVICE
from ..observability.admin_server import AdminServer
from ..peers import AgentNetwork
from ..policy import PolicyTable, TableProgress
from ..protocol.codec import MAX_MESSAGE_BYTES
from ..upstreams import UpstreamDirectory
from .entry_link import EntryLink
from .in_force import InForce
from .reader_role import ReaderRole
from .status import add_status
from .upstream_knowledge import UpstreamKnowledge

if TYPE_CHECKING:
    from ..infrastructure.instance_list import InstanceList
    from ..infrastructure.key_value_store import KeyValueStore
    from ..protocol.messages import Message
    from ..settings import AgentSettings

READ_TIMEOUT_MS = 30_000
ENTRY_PING_INTERVAL_S = 1.0

logger = logbook.Logger("verbenacross.agent")


class Agent:
    """Control of one instance: records, directory and links to its entries."""

    def __init__(
        self,
        settings: AgentSettings,
        store: KeyValueStore,
        instances: InstanceList,
        reader_store: KeyValueStore | None = None,
    ) -> None:
        self.settings = settings
        self.table = PolicyTable()
        self.progress = TableProgress(self.table)
        self.network = AgentNetwork(settings, self.progress)
        self.in_force = InForce(self.progress)
        self.role = ReaderRole(
            settings, reader_store or store, self.network, self.progress
        )
        self.directory = UpstreamDirectory()
        self.registry = Registry()
        self.entry_links: set[EntryLink] = set()
        self.knowledge = UpstreamKnowledge(
            settings,
            self.network,
            store,
            instances,
            self.table,
            self.directory,
            self.registry,
            self._send_to_entries,
        )
        self._stopping = asyncio.Event()
        self.progress.changes.subscribe(self._spread_watermark)
        self.in_force.changes.subscribe(self.network.report_in_force)
        self.table.changes.subscribe(self._spread_record)
        self.directory.changes.subscribe(self._spread_directory)
        self.knowledge.sync.readings.subscribe(self._note_list_read)

    @classmethod
    async def run_from_config(cls, settings: AgentSettings) -> None:
        """Runs an agent until it is told to stop."""
        async with AsyncExitStack() as stack:
            # No connection is used twice: one that went silent while it was idle
            # would fail the next call.
            session = await stack.enter_async_context(
                aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
            )
            agent = cls(
                settings,
                HttpKeyValueStore(session, settings.store_url),
                HttpInstanceList(session, settings.list_url),
                HttpKeyValueStore(session, settings.store_url, READ_TIMEOUT_MS),
            )
            asyncio.get_running_loop().add_signal_handler(15, agent.stop)
            await agent.run(stack)

    async def run(self, stack: AsyncExitStack) -> None:
        """Serves entries and follows the platform until stopped."""
        server = AdminServer(self, self.settings.admin_listen)
        add_status(server.application, self)
        await stack.enter_async_context(server)
        await self.network.open(stack)
        await stack.enter_async_context(
            serve(
                self._serve_entry,
                self.settings.entry_listen.host,
                self.settings.entry_listen.port,
                max_size=MAX_MESSAGE_BYTES,
                ping_interval=ENTRY_PING_INTERVAL_S,
                ping_timeout=ENTRY_PING_INTERVAL_S,
            )
        )
        tasks = [
            asyncio.create_task(self.role.run()),
        ]
        for task in tasks:
            stack.callback(task.cancel)
        knowledge_task = asyncio.create_task(self.knowledge.run())
        stack.push_async_callback(cancel_task, knowledge_task)
        logger.info("agent started", extra={"instance": self.settings.instance})
        await self._stopping.wait()
        await cancel_task(knowledge_task)
        await self.network.leave()

    def stop(self) -> None:
        """Ends the process."""
        self._stopping.set()

    def is_ready(self) -> bool:
        """Returns whether the agent has synchronised and is not stopping."""
        return self.synchronized and not self._stopping.is_set()

    @property
    def synchronized(self) -> bool:
        """Whether the table was complete once."""
        return self.progress.synchronized

    @property
    def watermark(self) -> int:
        """The store revision that the table is complete up to."""
        return self.progress.watermark

    def get_in_force(self) -> int:
        """Returns the store revision that every entry of this instance has applied."""
        return self.in_force.revision

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
            "reader": self.role.is_reading,
            "peers": self.network.dump(),
            "knowledge": self.knowledge.dump_state(),
            "entries": {link.entry: link.applied_revision for link in self.entry_links},
        }

    async def _serve_entry(self, connection: ServerConnection) -> None:
        link = EntryLink(self, connection)
        try:
            await link.run()
        finally:
            self.entry_links.discard(link)
            self.in_force.lose(link)

    def _send_to_entries(self, message: Message) -> None:
        for link in self.entry_links:
            link.send(message)

    def _note_list_read(self, count: int) -> None:
        self._update_candidates()
        self.role.list_is_known = True

    def _update_candidates(self) -> None:
        self.network.set_candidates(
            str(instance.address)
            for instance in self.directory.get_instances(AGENT_SERVICE)
            if instance.state == "live"
        )

    def _spread_watermark(self, revision: Any) -> None:
        for link in self.entry_links:
            link.send_watermark(revision)

    def _spread_record(self, record: Any) -> None:
        for link in self.entry_links:
            link.send_record(record)

    def _spread_directory(self, updates: Any) -> None:
        self._update_candidates()
        for link in self.entry_links:
            link.send_directory(updates)


async def cancel_task(task: asyncio.Task[None]) -> None:
    """Cancels a task and waits until it has released what it holds."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
