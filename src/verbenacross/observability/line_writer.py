"""Non-blocking writer of log lines, so that logging cannot stall the event loop."""

from __future__ import annotations

import os
from collections import deque

# Limit of the lines that are buffered while the log consumer is slow, in bytes.
MAX_QUEUED_BYTES = 262_144


class LineWriter:
    """Writes lines to a file descriptor; drops lines if the descriptor stays blocked.

    ``lines_per_second`` limits the rate; the limit is twice as high for lines marked as
    important. ``dropped_count`` counts the dropped lines.
    """

    def __init__(self, descriptor: int, lines_per_second: int) -> None:
        self.dropped_count = 0
        self._descriptor = descriptor
        self._max_lines_per_second = lines_per_second
        self._current_second = 0
        self._lines_this_second = 0
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str, now: float, *, important: bool) -> None:
        """Writes a line; drops it if the rate limit is exceeded or the buffer is full.

        ``now`` is a time in seconds.
        """
        second = int(now)
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = 0
        self._lines_this_second += 1
        # Important lines get twice the rate limit; otherwise a burst of lines about one
        # failure could suppress those about another.
        limit = (
            2 * self._max_lines_per_second if important else self._max_lines_per_second
        )
        if self._lines_this_second > limit:
            self.dropped_count += 1
            return
        data = line.encode() + b"\n"
        if self._queued_bytes + len(data) > MAX_QUEUED_BYTES:
            self.dropped_count += 1
            return
        self._queue.append(data)
        self._queued_bytes += len(data)
        self.flush()

    def flush(self) -> None:
        """Writes buffered lines until the descriptor would block."""
        while self._queue:
            data = self._queue[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The log consumer is gone, and there is nowhere else to report it.
                self.dropped_count += len(self._queue)
                self._queue.clear()
                self._queued_bytes = 0
                return
            self._queued_bytes -= written
            if written < len(data):
                self._queue[0] = data[written:]
                return
            self._queue.popleft()
