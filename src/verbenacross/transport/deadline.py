"""Deadlines that allow for pauses of the process."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# A timer that fires later than this, in seconds, was delayed by a pause of the process.
MIN_PAUSE_S = 0.1
# Time after a pause in which data that arrived meanwhile is read, in seconds.
READ_TIME_S = 0.05


@asynccontextmanager
async def timeout_at_or_after_pause(deadline: float) -> AsyncIterator[None]:
    """Raises ``TimeoutError`` at a deadline of the event loop's clock.

    A process that was paused until after the deadline first gets ``READ_TIME_S``: the
    event loop would time out before it reads a response that is ready.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as timeout:

        def expire() -> None:
            now = loop.time()
            is_late = now - deadline > MIN_PAUSE_S
            timeout.reschedule(now + READ_TIME_S if is_late else now)

        timer = loop.call_at(deadline, expire)
        try:
            yield
        finally:
            timer.cancel()
