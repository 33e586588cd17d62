"""Result of a command."""

from __future__ import annotations

import json
import sys
from typing import Any, NamedTuple

from .exit_code import ExitCode


class CommandResult(NamedTuple):
    """Result of a command: ``text`` for terminals, ``data`` for ``--json``."""

    code: ExitCode
    text: str
    data: dict[str, Any]

    def print(self, as_json: bool) -> None:
        """Prints the result.

        JSON always goes to standard output, the text of a failure to standard error.
        """
        if as_json:
            outcome = {"outcome": self.code.name.lower(), "exit_code": int(self.code)}
            print(json.dumps(outcome | self.data, indent=2))
            return
        failed = self.code not in (ExitCode.OK, ExitCode.DIFFERENT)
        print(self.text, file=sys.stderr if failed else sys.stdout)
