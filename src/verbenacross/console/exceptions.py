"""Exceptions of the commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..exceptions import VerbenacrossError

if TYPE_CHECKING:
    from .command_result import CommandResult


class CommandError(VerbenacrossError):
    """The command failed; carries the result to print."""

    def __init__(self, result: CommandResult) -> None:
        super().__init__(result.text)
        self.result = result


class OutcomeUnknownError(VerbenacrossError):
    """It is unknown whether a write took effect; reading it back failed as well."""


class WriteRefusedError(VerbenacrossError):
    """The store refused a write; it did not take effect."""


class AgentUnreachableError(VerbenacrossError):
    """None of the agents in the settings responded."""
