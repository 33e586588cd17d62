"""Prints what happens in a demonstration."""

from __future__ import annotations

import sys

COLORS = {"title": "\x1b[1m", "ok": "\x1b[32m", "FAILED": "\x1b[31m"}
RESET = "\x1b[0m"


class Narrator:
    """Prints titles, lines and checked facts; colours only on a terminal."""

    def __init__(self) -> None:
        self._colored = sys.stdout.isatty()
        self._passed = 0
        self._failed = 0

    @property
    def exit_code(self) -> int:
        """0 if every checked fact held, else 1."""
        return 1 if self._failed else 0

    def title(self, text: str) -> None:
        """Prints the title of a step."""
        print(f"\n{self._paint('title', text)}", flush=True)

    def line(self, text: str) -> None:
        """Prints a line."""
        print(f"  {text}", flush=True)

    def check(self, fact: str, holds: bool, detail: str) -> None:
        """Prints whether a fact holds."""
        self._passed += holds
        self._failed += not holds
        verdict = "ok" if holds else "FAILED"
        self.line(f"{self._paint(verdict, verdict)}: {fact} ({detail})")

    def summarize(self) -> None:
        """Prints how many facts held."""
        self.title(f"{self._passed} facts hold, {self._failed} do not")

    def _paint(self, kind: str, text: str) -> str:
        return f"{COLORS[kind]}{text}{RESET}" if self._colored else text
