"""Client for the status endpoints of agents."""

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


class MemberResponse(TypedDict):
    """A member in the response to ``GET /status``; other fields are ignored."""

    instance: str
    state: str
    failure_domain: str
    in_force: int


class StatusResponse(TypedDict):
    """Response to ``GET /status``; other fields are ignored."""

    instance: str
    watermark: int
    members: list[MemberResponse]
    findings: list[Any]


class StateResponse(TypedDict):
    """Response to ``GET /state``; other fields are ignored."""

    instance: str
    watermark: int
    in_force: int
    findings: list[Any]


STATUS_ADAPTER = TypeAdapter(StatusResponse)
STATE_ADAPTER = TypeAdapter(StateResponse)
READ_ERRORS = (TimeoutError, aiohttp.ClientError, OSError, ValidationError)


class StatusReader:
    """Reads the fleet status from the first agent in the settings that responds.

    If that agent has no ``/status`` endpoint, the status is built from the ``/state``
    of every agent in the settings; those that do not respond are ``unreachable``, and
    agents that are not in the settings are missing.
    """

    def __init__(self, http: aiohttp.ClientSession, settings: ClientSettings) -> None:
        self._http = http
        self._agents = settings.agents
        self._timeout = aiohttp.ClientTimeout(total=settings.timeout_ms / MS_PER_S)

    async def read(self) -> FleetStatus:
        """Reads the status; raises ``AgentUnreachableError`` if no agent responds."""
        errors = []
        for address in self._agents:
            try:
                return await self._read_status(address)
            except READ_ERRORS as error:
                errors.append(f"{address}: {error!r}")
        reason = "; ".join(errors) or "no agents in the settings"
        raise AgentUnreachableError(reason)

    async def _read_status(self, address: Address) -> FleetStatus:
        body = await self._get(address, "/status")
        if body is None:
            return await self._build_status_from_states(address)
        response = STATUS_ADAPTER.validate_json(body)
        return FleetStatus(
            response["instance"],
            response["watermark"],
            tuple(MemberStatus(**member) for member in response["members"]),
            tuple(map(format_finding, response["findings"])),
        )

    async def _build_status_from_states(self, responding: Address) -> FleetStatus:
        first = await self._read_state(responding)
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

    async def _read_state(self, address: Address) -> StateResponse:
        body = await self._get(address, "/state")
        return STATE_ADAPTER.validate_json(body or b"")

    async def _get(self, address: Address, path: str) -> bytes | None:
        url = f"http://{address}{path}"
        async with self._http.get(url, timeout=self._timeout) as response:
            if response.status == HTTP_NOT_FOUND:
                return None
            response.raise_for_status()
            return await response.read()


def format_finding(finding: Any) -> str:
    """Formats a finding, which agents send as a string, an object or a list."""
    match finding:
        case {"source": source, "path": path, "message": message}:
            return f"{source}: {path}: {message}"
        case [source, path, message]:
            return f"{source}: {path}: {message}"
        case _:
            return str(finding)
