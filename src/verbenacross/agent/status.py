"""Status endpoint of an agent for operators: members and findings."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from aiohttp import web

from ..infrastructure.key_value_store import StorePosition
from ..policy.table_progress import CARRY_OVER_S
from ..settings import Finding

if TYPE_CHECKING:
    from .agent import Agent


def add_status(application: web.Application, agent: Agent) -> None:
    """Adds ``GET /status`` to the admin server of an agent."""

    async def serve_status(request: web.Request) -> web.Response:
        return web.json_response(build_status(agent))

    application.router.add_get("/status", serve_status)


def build_status(agent: Agent) -> dict[str, Any]:
    """Returns members, their revisions in force and findings as a JSON object.

    ``watermark`` and each ``in_force`` are revisions of the store packed with their
    era, which is the plain revision in era 0; ``era`` is that of the watermark.
    ``store_age_ms`` is the time since the last response of the store, ``null`` if this
    agent does not read the store.
    """
    reader = agent.reader_role.reader
    last_response_at = reader.last_response_at if agent.reader_role.is_reading else None
    findings = [
        *agent.table.get_findings(),
        *reader.findings,
        *find_store_loss(agent),
        *find_carried_over(agent),
    ]
    return {
        "instance": agent.settings.instance,
        "synchronized": agent.synchronized,
        "era": agent.progress.era,
        "watermark": agent.watermark,
        "in_force": agent.get_in_force(),
        "isolated": agent.network.is_isolated(),
        "reader": agent.reader_role.is_reading,
        "store_age_ms": None
        if last_response_at is None
        else int((time.monotonic() - last_response_at) * 1_000),
        "members": [
            member._asdict() for member in agent.network.members.members.values()
        ],
        "findings": [str(finding) for finding in findings],
    }


def find_store_loss(agent: Agent) -> list[Finding]:
    """Returns a finding if the store is known to have lost writes."""
    if agent.progress.lost_after is None:
        return []
    position = StorePosition.unpack(agent.progress.lost_after)
    message = (
        f"the store was at revision {position}, below a known one: it "
        "lost writes or answered late; the records in force are kept, and a record is "
        "replaced only by a higher revision"
    )
    return [Finding("store", "$.revision", message)]


def find_carried_over(agent: Agent) -> list[Finding]:
    """Returns a finding if a restored store lacks policies that are in force."""
    era = agent.progress.era
    count = agent.table.count_before_era(era)
    if not count:
        return []
    message = (
        f"{count} policies in force are not in the store, which was restored from a "
        f"copy (era {era}): they are retired after {CARRY_OVER_S:.0f} s unless they "
        "are written again"
    )
    return [Finding("store", "$.era", message)]
