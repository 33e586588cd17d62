"""What a command reports."""

from __future__ import annotations

import json
import sys
from typing import Any, NamedTuple

from .exit_code import ExitCode


class CommandResult(NamedTuple):
    """What a command reports: ``text`` for people, ``data`` for scripts."""

    code: ExitCode
    text: str
    data: dict[str, Any]

    def print(self, as_json: bool) -> None:
        """Prints the result; a JSON object always goes to standard output."""
        if as_json:
            outcome = {"outcome": self.code.name.lower(), "exit_code": int(self.code)}
            print(json.dumps(outcome | self.data, indent=2))
            return
        failed = self.code not in (ExitCode.OK, ExitCode.DIFFERENT)
        print(self.text, file=sys.stderr if failed else sys.stdout)
