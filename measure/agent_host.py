"""Process that runs one or more agents, each with the agent link of an entry.

It simulates the instances of a fleet where only the control plane is measured.
``GET /figures`` on the control port serves when each entry applied each record, CPU
time, memory and message bytes; ``POST /reset`` clears the times.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import resource
import time
from contextlib import AsyncExitStack
from typing import Any

import aiohttp
from aiohttp import web
from pydantic import TypeAdapter

from verbenacross.agent import Agent
from verbenacross.entry.agent_link import AgentLink
from verbenacross.infrastructure.http_instance_list import HttpInstanceList
from verbenacross.infrastructure.http_key_value_store import HttpKeyValueStore
from verbenacross.observability.logs import configure_logging
from verbenacross.policy import PolicyRecord, PolicyTable
from verbenacross.settings import AgentSettings, EntrySettings
from verbenacross.upstreams import ObservationTable, UpstreamDirectory


class HostedInstance:
    """An agent and the policy table of its entry."""

    def __init__(self, settings: AgentSettings, session: aiohttp.ClientSession) -> None:
        self.agent = Agent(
            settings,
            HttpKeyValueStore(session, settings.store_url),
            HttpInstanceList(session, settings.list_url),
        )
        self.table = PolicyTable()
        self.table.changes.subscribe(self._record_applied)
        self.applied: dict[int, float] = {}
        entry = EntrySettings(
            settings.instance,
            settings.failure_domain,
            settings.entry_listen,
            settings.entry_listen,
            settings.entry_listen,
            settings.store_url,
        )
        self.link = AgentLink(
            entry, self.table, UpstreamDirectory(), ObservationTable()
        )

    async def run(self) -> None:
        """Runs the agent and the agent link until cancelled."""
        async with AsyncExitStack() as stack:
            link = asyncio.create_task(self.link.run())
            stack.callback(link.cancel)
            await self.agent.run(stack)

    def _record_applied(self, record: PolicyRecord) -> None:
        self.applied[record.revision] = time.time()


class AgentHost:
    """HTTP handlers that serve the figures of the hosted instances."""

    def __init__(self, instances: list[HostedInstance]) -> None:
        self.instances = instances

    async def serve_figures(self, request: web.Request) -> web.Response:
        """Serves the figures of this process."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        status = pathlib.Path("/proc/self/status").read_text()
        resident = next(
            line for line in status.splitlines() if line.startswith("VmRSS")
        )
        return web.json_response(
            {
                "processor_s": usage.ru_utime + usage.ru_stime,
                "resident_kb": int(resident.split()[1]),
                "instances": {
                    hosted.agent.settings.instance: self.describe(hosted)
                    for hosted in self.instances
                },
            }
        )

    def describe(self, hosted: HostedInstance) -> dict[str, Any]:
        """Returns the figures of one instance."""
        alive = hosted.agent.network.get_live_members()
        return {
            "applied": hosted.applied,
            "records": len(hosted.table.latest),
            "in_force": hosted.agent.get_in_force(),
            "least_in_force": min(member.in_force for member in alive),
            "alive": len(alive),
            "reader": hosted.agent.reader_role.is_reading,
            "bytes": hosted.agent.network.get_byte_counts(),
        }

    async def reset(self, request: web.Request) -> web.Response:
        """Clears the times at which records were applied."""
        for hosted in self.instances:
            hosted.applied.clear()
        return web.json_response({})


async def run(arguments: argparse.Namespace) -> None:
    """Runs the agents of a settings file, a JSON list of agent settings."""
    text = await asyncio.to_thread(pathlib.Path(arguments.settings).read_bytes)
    settings = TypeAdapter(list[AgentSettings]).validate_json(text)
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
        )
        host = AgentHost([HostedInstance(each, session) for each in settings])
        application = web.Application()
        application.router.add_get("/figures", host.serve_figures)
        application.router.add_post("/reset", host.reset)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", arguments.port).start()
        await asyncio.gather(*(hosted.run() for hosted in host.instances))


def main() -> None:
    """Runs the process."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("settings")
    configure_logging("WARNING")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
