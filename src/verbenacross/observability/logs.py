"""Logging as JSON lines to standard error, or rate-limited to standard output.

Each line is one JSON object with ``time``, ``level``, ``logger`` and ``message``. The
items of a record's ``extra`` are added as members; ``request_id``,
``policy_revision`` and ``upstream`` identify the request that a line is about.
"""

from __future__ import annotations

import json
import logging
import math
import sys
import time
from typing import Any

import logbook
from logbook.compat import redirect_logging

from .line_writer import LineWriter
from .log_line_counter import LogLineCounter

MAX_TEXT_CHARACTERS = 8_192
MAX_DEPTH = 6
MAX_COLLECTION_ITEMS = 256
RESERVED_NAMES = frozenset({"time", "level", "logger", "message", "exception"})

log_line_counter = LogLineCounter()
installed_handlers: list[logbook.Handler] = []


def configure_logging(level: str) -> None:
    """Configures this process to log JSON lines to standard error.

    Includes ``warnings`` and records of the standard ``logging`` module, which
    libraries use. A later call replaces the handler and its level.
    """
    while installed_handlers:
        installed_handlers.pop().pop_application()
    handler = logbook.StreamHandler(sys.stderr, level=level)
    handler.formatter = format_record
    handler.push_application()
    installed_handlers.append(handler)
    redirect_logging(set_root_logger_level=False)
    logging.captureWarnings(True)


class NonBlockingHandler(logbook.Handler):  # type: ignore[misc]
    """Log handler that writes JSON lines to standard output without blocking."""

    def __init__(self, level: str, lines_per_second: int) -> None:
        super().__init__(level=level)
        self.writer = LineWriter(sys.stdout.fileno(), lines_per_second)
        self.formatter = format_record

    def emit(self, record: Any) -> None:
        """Writes a record; warnings and errors get a higher rate limit."""
        important = record.level >= logbook.WARNING
        line = self.format(record)
        self.writer.write(line, time.monotonic(), important=important)


def configure_stdout_logging(level: str, lines_per_second: int) -> LineWriter:
    """Configures this process to log to standard output, rate-limited, non-blocking.

    Returns the writer, which counts the lines that it drops.
    """
    while installed_handlers:
        installed_handlers.pop().pop_application()
    handler = NonBlockingHandler(level, lines_per_second)
    handler.push_application()
    installed_handlers.append(handler)
    redirect_logging(set_root_logger_level=False)
    logging.captureWarnings(True)
    return handler.writer


def format_record(record: Any, handler: Any) -> str:
    """Formats a log record as one JSON line; never raises, whatever it contains."""
    log_line_counter.increment(record.level_name)
    try:
        return json.dumps(build_line(record))
    except Exception as error:
        line = {
            "level": "error",
            "logger": "verbenacross.observability",
            "message": "log record could not be formatted",
            "error": to_safe_text(error),
        }
        return json.dumps(line)


def build_line(record: Any) -> dict[str, Any]:
    """Builds the JSON object of a log record."""
    line = {
        "time": record.time.isoformat(timespec="milliseconds") + "Z",
        "level": record.level_name.lower(),
        "logger": to_safe_text(record.channel),
        "message": truncate(format_message(record)),
    }
    for name, value in record.extra.items():
        text = to_safe_text(name)
        line[f"extra_{text}" if text in RESERVED_NAMES else text] = to_json_value(value)
    if record.formatted_exception:
        line["exception"] = truncate(record.formatted_exception)
    return line


def format_message(record: Any) -> str:
    """Formats the message; falls back to its template if the arguments do not fit."""
    try:
        return str(record.message)
    except Exception:
        return f"{to_safe_text(record.msg)} (arguments: {to_safe_text(record.args)})"


def to_json_value(value: Any, depth: int = 0) -> Any:
    """Converts a value to JSON types; other or oversized values become strings.

    Collections are truncated to ``MAX_COLLECTION_ITEMS``. ``MAX_DEPTH`` limits the
    recursion, so that cyclic values end.
    """
    match value:
        case None | bool():
            return value
        case int() if value.bit_length() <= 64:
            return int(value)
        case float() if math.isfinite(value):
            return float(value)
        case dict() if depth < MAX_DEPTH:
            parts = list(value.items())[:MAX_COLLECTION_ITEMS]
            return {
                to_safe_text(name): to_json_value(part, depth + 1)
                for name, part in parts
            }
        case list() | tuple() | set() | frozenset() if depth < MAX_DEPTH:
            return [
                to_json_value(part, depth + 1)
                for part in list(value)[:MAX_COLLECTION_ITEMS]
            ]
        case _:
            return to_safe_text(value)


def to_safe_text(value: Any) -> str:
    """Converts any value to a bounded string, even if its ``__str__`` raises."""
    try:
        return truncate(str(value))
    except Exception as error:
        return f"<{type(value).__name__} not printable: {type(error).__name__}>"


def truncate(text: str) -> str:
    """Truncates a text to ``MAX_TEXT_CHARACTERS`` and appends an ellipsis."""
    if len(text) <= MAX_TEXT_CHARACTERS:
        return text
    return text[:MAX_TEXT_CHARACTERS] + "..."
