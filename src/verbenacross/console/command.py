"""Options that every operators' command has."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import cappa

from .command_result import CommandResult

SETTINGS_VARIABLE = "VERBENACROSS_SETTINGS"


@dataclass(kw_only=True)
class Command:
    """A command of the operators' binary."""

    as_json: Annotated[
        bool,
        cappa.Arg(
            long="--json",
            help="Print one JSON object, for scripts.",
            show_default=False,
        ),
    ] = False

    async def run(self) -> CommandResult:
        """Runs the command and returns what it reports."""
        raise NotImplementedError


@dataclass(kw_only=True)
class SettingsCommand(Command):
    """A command that reads the operators' settings."""

    settings: Annotated[
        str,
        cappa.Arg(
            short="-s",
            long="--settings",
            default=cappa.Env(SETTINGS_VARIABLE),
            help=f"JSON settings file; default: the variable {SETTINGS_VARIABLE}.",
            show_default=False,
        ),
    ]
