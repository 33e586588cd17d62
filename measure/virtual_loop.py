"""Event loop whose clock jumps to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine, Mapping

Returned = TypeVar("Returned")


class TimeSkippingSelector(selectors.DefaultSelector):
    """Selector that advances a clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advances the clock by the timeout; raises if no timer is scheduled."""
        if timeout is None:
            raise RuntimeError("deadlock: every task waits and no timer is scheduled")
        self.now += max(0.0, timeout)
        return []

    def get_map(self) -> Mapping[Any, Any]:
        """Returns the registered files, empty after the selector was closed."""
        return super().get_map() or {}


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs on virtual time, for models without network."""

    def __init__(self) -> None:
        self._clock = TimeSkippingSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._clock.now


def run_in_virtual_time(coroutine: Coroutine[Any, Any, Returned]) -> Returned:
    """Runs a coroutine on virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
