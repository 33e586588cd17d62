"""Prints the progress of a demonstration."""

from __future__ import annotations

import sys

COLORS = {"title": "\x1b[1m", "ok": "\x1b[32m", "FAILED": "\x1b[31m"}
RESET = "\x1b[0m"


class DemoReporter:
    """Prints titles, lines and check results, in colour on a terminal."""

    def __init__(self) -> None:
        self._colored = sys.stdout.isatty()
        self._passed = 0
        self._failed = 0

    @property
    def exit_code(self) -> int:
        """0 if all checks passed, else 1."""
        return 1 if self._failed else 0

    def title(self, text: str) -> None:
        """Prints the title of a step."""
        print(f"\n{self._paint('title', text)}", flush=True)

    def line(self, text: str) -> None:
        """Prints a line."""
        print(f"  {text}", flush=True)

    def check(self, name: str, passed: bool, detail: str) -> None:
        """Records and prints whether a check passed."""
        self._passed += passed
        self._failed += not passed
        result = "ok" if passed else "FAILED"
        self.line(f"{self._paint(result, result)}: {name} ({detail})")

    def summarize(self) -> None:
        """Prints how many checks passed and failed."""
        self.title(f"{self._passed} checks passed, {self._failed} failed")

    def _paint(self, kind: str, text: str) -> str:
        return f"{COLORS[kind]}{text}{RESET}" if self._colored else text
