"""Reads which instance has which store revision in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import aiohttp
from pydantic import TypeAdapter, ValidationError
from typing_extensions import TypedDict

from .exceptions import AgentUnreachableError
from .fleet_status import FleetStatus, MemberStatus

if TYPE_CHECKING:
    from ..settings import Address, ClientSettings

HTTP_OK = 200
HTTP_NOT_FOUND = 404
MS_PER_S = 1_000


class MemberAnswer(TypedDict):
    """A member in the answer to ``GET /status``; other fields are ignored."""

    instance: str
    state: str
    failure_domain: str
    in_force: int


class StatusAnswer(TypedDict):
    """Answer to ``GET /status``; other fields are ignored."""

    instance: str
    watermark: int
    members: list[MemberAnswer]
    findings: list[Any]


class StateAnswer(TypedDict):
    """What is used of an agent's answer to ``GET /state``."""

    instance: str
    watermark: int
    in_force: int
    findings: list[Any]


STATUS_ADAPTER = TypeAdapter(StatusAnswer)
STATE_ADAPTER = TypeAdapter(StateAnswer)
READ_ERRORS = (TimeoutError, aiohttp.ClientError, OSError, ValidationError)


class StatusReader:
    """Asks the agents of the settings; the first that answers gives the status.

    Agents without ``/status`` are asked for ``/state`` one by one; then only the agents
    in the settings are known, and one that does not answer counts as ``unreachable``.
    """

    def __init__(self, http: aiohttp.ClientSession, settings: ClientSettings) -> None:
        self._http = http
        self._agents = settings.agents
        self._timeout = aiohttp.ClientTimeout(total=settings.timeout_ms / MS_PER_S)

    async def read(self) -> FleetStatus:
        """Returns the status; raises ``AgentUnreachableError`` when none answers."""
        errors = []
        for address in self._agents:
            try:
                return await self._read_status(address)
            except READ_ERRORS as error:
                errors.append(f"{address}: {error!r}")
        reason = "; ".join(errors) or "the settings name no agents"
        raise AgentUnreachableError(reason)

    async def _read_status(self, address: Address) -> FleetStatus:
        text = await self._get(address, "/status")
        if text is None:
            return await self._combine_states(address)
        answer = STATUS_ADAPTER.validate_json(text)
        return FleetStatus(
            answer["instance"],
            answer["watermark"],
            tuple(MemberStatus(**member) for member in answer["members"]),
            tuple(map(format_finding, answer["findings"])),
        )

    async def _combine_states(self, answering: Address) -> FleetStatus:
        first = await self._read_state(answering)
        members = []
        for address in self._agents:
            try:
                state = await self._read_state(address)
            except READ_ERRORS:
                members.append(MemberStatus(str(address), "unreachable", "", 0))
                continue
            members.append(
                MemberStatus(state["instance"], "alive", "", state["in_force"])
            )
        return FleetStatus(
            first["instance"],
            first["watermark"],
            tuple(members),
            tuple(map(format_finding, first["findings"])),
        )

    async def _read_state(self, address: Address) -> StateAnswer:
        text = await self._get(address, "/state")
        return STATE_ADAPTER.validate_json(text or b"")

    async def _get(self, address: Address, path: str) -> bytes | None:
        url = f"http://{address}{path}"
        async with self._http.get(url, timeout=self._timeout) as response:
            if response.status == HTTP_NOT_FOUND:
                return None
            response.raise_for_status()
            return await response.read()


def format_finding(finding: Any) -> str:
    """Returns a finding, which an agent gives as a text or as its parts, as a text."""
    match finding:
        case {"source": source, "path": path, "message": message}:
            return f"{source}: {path}: {message}"
        case [source, path, message]:
            return f"{source}: {path}: {message}"
        case _:
            return str(finding)
