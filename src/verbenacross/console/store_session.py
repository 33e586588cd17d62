"""Settings and connections of the operators' commands."""

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

    from ..infrastructure.key_value_store import KeyValueStore
    from ..settings import Finding


class StoreSession(NamedTuple):
    """What a command needs to talk to the store and to agents."""

    settings: ClientSettings
    http: aiohttp.ClientSession
    store: KeyValueStore


@asynccontextmanager
async def open_session(path: str) -> AsyncIterator[StoreSession]:
    """Yields a session on the settings in a file.

    Raises ``CommandError`` when the settings cannot be used or when a call to the store
    fails inside the block.
    """
    try:
        settings = load_settings(path, ClientSettings)
    except SettingsError as error:
        raise CommandError(report_findings(error.findings)) from error
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


def report_findings(findings: tuple[Finding, ...]) -> CommandResult:
    """Returns the result for documents that are not valid."""
    text = "\n".join(str(finding) for finding in findings)
    data = {"findings": [finding._asdict() for finding in findings]}
    return CommandResult(ExitCode.INVALID, text, data)
