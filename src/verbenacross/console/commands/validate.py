"""The command ``validate``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import cappa

from ..command import Command
from ..command_result import CommandResult
from ..exceptions import CommandError
from ..exit_code import ExitCode


@cappa.command(name="validate")
@dataclass(kw_only=True)
class ValidateCommand(Command):
    """Check policy files without the store.

    Prints every finding with its file and JSON path. Exit code 2 if there are any.
    """

    files: Annotated[list[str], cappa.Arg(num_args=-1, required=True, help="Policies.")]

    async def run(self) -> CommandResult:
        """Checks every file and reports all findings together."""
        from ..policy_file import read_policy_file

        findings = []
        lines = []
        for path in self.files:
            try:
                key = read_policy_file(path).key
                lines.append(f"{path}: valid, key {key}")
            except CommandError as error:
                findings += error.result.data["findings"]
                lines.append(error.result.text)
        code = ExitCode.INVALID if findings else ExitCode.OK
        data = {"files": self.files, "findings": findings}
        return CommandResult(code, "\n".join(lines), data)
