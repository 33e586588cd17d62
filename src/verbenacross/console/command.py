"""Base classes of the commands, with their common options."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import cappa

from .command_result import CommandResult

SETTINGS_VARIABLE = "VERBENACROSS_SETTINGS"


@dataclass(kw_only=True)
class Command:
    """Base class of all commands."""

    as_json: Annotated[
        bool,
        cappa.Arg(
            long="--json",
            help="Print the result as a JSON object, for scripts.",
            show_default=False,
        ),
    ] = False

    async def run(self) -> CommandResult:
        """Runs the command and returns its result."""
        raise NotImplementedError


@dataclass(kw_only=True)
class SettingsCommand(Command):
    """Base class of the commands that read the client settings."""

    settings: Annotated[
        str,
        cappa.Arg(
            short="-s",
            long="--settings",
            default=cappa.Env(SETTINGS_VARIABLE),
            help=f"JSON settings file (environment variable: {SETTINGS_VARIABLE}).",
            show_default=False,
        ),
    ]
