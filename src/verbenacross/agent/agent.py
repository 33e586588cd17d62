"""The agent process, the control plane of one instance."""

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
from .in_force_tracker import InForceTracker
from .reader_role import ReaderRole
from .status import add_status
from .upstream_manager import UpstreamManager

if TYPE_CHECKING:
    from ..infrastructure.instance_list import InstanceList
    from ..infrastructure.key_value_store import KeyValueStore
    from ..protocol.messages import Message
    from ..settings import AgentSettings

READER_REQUEST_TIMEOUT_MS = 30_000
ENTRY_PING_INTERVAL_S = 1.0

logger = logbook.Logger("verbenacross.agent")


class Agent:
    """Distributes policies, directory and upstream state to the entries of an instance.

    ``reader_store`` is the client of the store reader, whose reads and watches need
    longer time-outs than the calls on ``store``; it defaults to ``store``.
    """

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
        self.in_force_tracker = InForceTracker(self.progress)
        self.reader_role = ReaderRole(
            settings, reader_store or store, self.network, self.progress
        )
        self.directory = UpstreamDirectory()
        self.registry = Registry()
        self.entry_links: set[EntryLink] = set()
        self.upstreams = UpstreamManager(
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
        self.progress.changes.subscribe(self._send_watermark)
        self.in_force_tracker.changes.subscribe(self.network.report_in_force)
        self.table.changes.subscribe(self._send_record)
        self.directory.changes.subscribe(self._send_directory)
        self.upstreams.directory_sync.list_reads.subscribe(self._handle_list_read)

    @classmethod
    async def run_from_config(cls, settings: AgentSettings) -> None:
        """Runs an agent with the given settings until it receives ``SIGTERM``."""
        async with AsyncExitStack() as stack:
            # Connections are not reused: one that went silent while it was idle would
            # make the next call fail.
            session = await stack.enter_async_context(
                aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
            )
            agent = cls(
                settings,
                HttpKeyValueStore(session, settings.store_url),
                HttpInstanceList(session, settings.list_url),
                HttpKeyValueStore(
                    session, settings.store_url, READER_REQUEST_TIMEOUT_MS
                ),
            )
            asyncio.get_running_loop().add_signal_handler(15, agent.stop)
            await agent.run(stack)

    async def run(self, stack: AsyncExitStack) -> None:
        """Serves entries and follows the store and the instance list until stopped."""
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
            asyncio.create_task(self.reader_role.run()),
        ]
        for task in tasks:
            stack.callback(task.cancel)
        upstreams_task = asyncio.create_task(self.upstreams.run())
        stack.push_async_callback(cancel_task, upstreams_task)
        logger.info("agent started", extra={"instance": self.settings.instance})
        await self._stopping.wait()
        await cancel_task(upstreams_task)
        await self.network.leave()

    def stop(self) -> None:
        """Requests a graceful shutdown."""
        self._stopping.set()

    def is_ready(self) -> bool:
        """Returns whether the agent has synchronised and is not stopping."""
        return self.synchronized and not self._stopping.is_set()

    @property
    def synchronized(self) -> bool:
        """Whether the policy table has been complete up to some store revision."""
        return self.progress.synchronized

    @property
    def watermark(self) -> int:
        """The store revision that the policy table is complete up to."""
        return self.progress.watermark

    def get_in_force(self) -> int:
        """Returns the store revision that all entries of this instance have applied."""
        return self.in_force_tracker.revision

    def dump_state(self) -> dict[str, Any]:
        """Returns the state of the process as a JSON object."""
        return {
            "instance": self.settings.instance,
            "synchronized": self.synchronized,
            "era": self.progress.era,
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
            "reader": self.reader_role.is_reading,
            "peers": self.network.dump(),
            "knowledge": self.upstreams.dump_state(),
            "entries": {link.entry: link.applied_revision for link in self.entry_links},
        }

    async def _serve_entry(self, connection: ServerConnection) -> None:
        link = EntryLink(self, connection)
        try:
            await link.run()
        finally:
            self.entry_links.discard(link)
            self.in_force_tracker.mark_disconnected(link)

    def _send_to_entries(self, message: Message) -> None:
        for link in self.entry_links:
            link.send(message)

    def _handle_list_read(self, count: int) -> None:
        self._update_peer_candidates()
        self.reader_role.is_list_loaded = True

    def _update_peer_candidates(self) -> None:
        self.network.set_candidates(
            str(instance.address)
            for instance in self.directory.get_instances(AGENT_SERVICE)
            if instance.state == "live"
        )

    def _send_watermark(self, revision: Any) -> None:
        for link in self.entry_links:
            link.send_watermark(revision)

    def _send_record(self, record: Any) -> None:
        for link in self.entry_links:
            link.send_record(record)

    def _send_directory(self, updates: Any) -> None:
        self._update_peer_candidates()
        for link in self.entry_links:
            link.send_directory(updates)


async def cancel_task(task: asyncio.Task[None]) -> None:
    """Cancels a task and waits for its cleanup."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
