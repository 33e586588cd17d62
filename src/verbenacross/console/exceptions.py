"""Errors of the operators' commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..exceptions import VerbenacrossError

if TYPE_CHECKING:
    from .command_result import CommandResult


class CommandError(VerbenacrossError):
    """A command cannot go on; carries what it reports."""

    def __init__(self, result: CommandResult) -> None:
        super().__init__(result.text)
        self.result = result


class OutcomeUnknownError(VerbenacrossError):
    """A write may or may not have taken effect, and reading back gave no answer."""


class WriteRefusedError(VerbenacrossError):
    """The store refused a write, which did not take effect."""


class AgentUnreachableError(VerbenacrossError):
    """No agent of the settings answered."""
