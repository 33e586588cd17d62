"""A fleet that leaves no process behind when it is interrupted."""

from __future__ import annotations

import signal

from standins.fleet import Fleet


class InterruptibleFleet(Fleet):
    """Raises ``KeyboardInterrupt`` on SIGINT and SIGTERM, but not during a start.

    If the exception were raised while a process starts, the process would not be
    registered yet and would never be stopped.
    """

    def __init__(self) -> None:
        super().__init__()
        self._starting = False
        self._interrupted = False
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, self._interrupt)

    def start(self, name: str, arguments: list[str]) -> None:
        """Starts a Python process; raises a pending interruption afterwards."""
        self._starting = True
        try:
            super().start(name, arguments)
        finally:
            self._starting = False
        if self._interrupted:
            raise KeyboardInterrupt

    def _interrupt(self, number: int, frame: object) -> None:
        self._interrupted = True
        if not self._starting:
            raise KeyboardInterrupt
