"""The command ``validate``."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated

import cappa

from ..command import Command
from ..command_result import CommandResult
from ..exceptions import CommandError
from ..exit_code import ExitCode


@cappa.command(name="validate")
@dataclass(kw_only=True)
class ValidateCommand(Command):
    """Validate policies, node settings and platform configurations offline.

    Prints each finding with its file and JSON path. Exit code 2 if there are any.
    """

    files: Annotated[
        list[str], cappa.Arg(num_args=-1, help="Policies.", show_default=False)
    ] = field(default_factory=list)
    node_settings: Annotated[
        list[str],
        cappa.Arg(
            long=True, help="Settings file of verbenacross-node.", show_default=False
        ),
    ] = field(default_factory=list)
    configurations: Annotated[
        list[str],
        cappa.Arg(
            long="--configuration",
            help="Configuration file of the platform.",
            show_default=False,
        ),
    ] = field(default_factory=list)

    async def run(self) -> CommandResult:
        """Validates all files and returns all findings together."""
        from ..file_validation import validate_configuration, validate_node_settings
        from ..policy_file import read_policy_file

        checks = [
            *((path, read_policy_file) for path in self.files),
            *((path, validate_node_settings) for path in self.node_settings),
            *((path, validate_configuration) for path in self.configurations),
        ]
        findings = []
        lines = []
        for path, check in checks:
            try:
                lines.append(f"{path}: valid, {check(path)}")
            except CommandError as error:
                findings += error.result.data["findings"]
                lines.append(error.result.text)
        files = [path for path, _ in checks]
        if not files:
            text = "name at least one file"
            return CommandResult(ExitCode.INVALID, text, {"files": [], "findings": []})
        code = ExitCode.INVALID if findings else ExitCode.OK
        data = {"files": files, "findings": findings}
        return CommandResult(code, "\n".join(lines), data)
