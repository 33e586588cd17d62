"""Writes log lines without ever blocking the event loop."""

from __future__ import annotations

import os
from collections import deque

# Lines that are kept while the reader of the log is slow, in bytes.
MAX_QUEUED_BYTES = 262_144


class LineWriter:
    """Writes lines to a descriptor that may be slow; drops some if it stays slow.

    ``lines_per_second`` bounds the volume; lines above it are counted in ``dropped``
    but for those that the caller marks as important.
    """

    def __init__(self, descriptor: int, lines_per_second: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._rate = lines_per_second
        self._second = 0
        self._written = 0
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str, now: float, *, important: bool) -> None:
        """Writes a line, or drops it when there were too many this second."""
        second = int(now)
        if second != self._second:
            self._second = second
            self._written = 0
        self._written += 1
        # Important lines may take twice the rate, or a failure could hide another.
        limit = 2 * self._rate if important else self._rate
        if self._written > limit:
            self.dropped += 1
            return
        data = line.encode() + b"\n"
        if self._queued_bytes + len(data) > MAX_QUEUED_BYTES:
            self.dropped += 1
            return
        self._queue.append(data)
        self._queued_bytes += len(data)
        self.flush()

    def flush(self) -> None:
        """Writes what the descriptor takes now."""
        while self._queue:
            data = self._queue[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more, and there is no other place to tell.
                self.dropped += len(self._queue)
                self._queue.clear()
                self._queued_bytes = 0
                return
            self._queued_bytes -= written
            if written < len(data):
                self._queue[0] = data[written:]
                return
            self._queue.popleft()
