"""Settings and store connection of a command."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from ..infrastructure.exceptions import StoreError, StoreUnavailableError
from ..infrastructure.http_key_value_store import HttpKeyValueStore
from ..settings import ClientSettings, SettingsError, load_settings
from .command_result import CommandResult
from .exceptions import CommandError
from .exit_code import ExitCode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ..settings import Finding


class StoreSession(NamedTuple):
    """Settings and clients that a command needs for the store and the agents."""

    settings: ClientSettings
    http: aiohttp.ClientSession
    store: HttpKeyValueStore


@asynccontextmanager
async def open_session(path: str) -> AsyncIterator[StoreSession]:
    """Opens a session with the settings in a file.

    Raises ``CommandError`` if the settings are invalid or a store call inside the
    ``async with`` block fails.
    """
    try:
        settings = load_settings(path, ClientSettings)
    except SettingsError as error:
        raise CommandError(build_invalid_result(error.findings)) from error
    async with aiohttp.ClientSession() as http:
        store = HttpKeyValueStore(http, settings.store_url, settings.timeout_ms)
        try:
            yield StoreSession(settings, http, store)
        except StoreUnavailableError as error:
            text = f"store unreachable, nothing was written: {error}"
            data = {"error": str(error), "written": False}
            result = CommandResult(ExitCode.UNREACHABLE, text, data)
            raise CommandError(result) from error
        except StoreError as error:
            text = f"the store refused a call, nothing was written: {error}"
            data = {"error": str(error), "written": False}
            raise CommandError(CommandResult(ExitCode.REFUSED, text, data)) from error


def build_invalid_result(findings: tuple[Finding, ...]) -> CommandResult:
    """Builds the result for invalid documents."""
    text = "\n".join(str(finding) for finding in findings)
    data = {"findings": [finding._asdict() for finding in findings]}
    return CommandResult(ExitCode.INVALID, text, data)
