"""Logs as JSON lines, on standard error or, bounded, on standard output.

Every line is one JSON object with ``time``, ``level``, ``logger`` and ``message``.
Fields of a record's ``extra`` become members; those that concern a request are
``request_id``, ``policy_revision`` and ``upstream``.
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
from .log_counts import LogCounts

MAX_TEXT_CHARACTERS = 8_192
MAX_DEPTH = 6
MAX_ITEMS = 256
RESERVED_NAMES = frozenset({"time", "level", "logger", "message", "exception"})

log_counts = LogCounts()
installed: list[logbook.Handler] = []


def configure_logging(level: str) -> None:
    """Sends all logs of this process to standard error as JSON lines.

    Logs of the standard library, which libraries use, and warnings are included. A
    later call replaces the level.
    """
    while installed:
        installed.pop().pop_application()
    handler = logbook.StreamHandler(sys.stderr, level=level)
    handler.formatter = format_record
    handler.push_application()
    installed.append(handler)
    redirect_logging(set_root_logger_level=False)
    logging.captureWarnings(True)


class LineHandler(logbook.Handler):  # type: ignore[misc]
    """Writes records as JSON lines to standard output without blocking."""

    def __init__(self, level: str, lines_per_second: int) -> None:
        super().__init__(level=level)
        self.writer = LineWriter(sys.stdout.fileno(), lines_per_second)
        self.formatter = format_record

    def emit(self, record: Any) -> None:
        """Writes a record; warnings come before successes when there are many."""
        important = record.level >= logbook.WARNING
        line = self.format(record)
        self.writer.write(line, time.monotonic(), important=important)


def configure_line_logs(level: str, lines_per_second: int) -> LineWriter:
    """Sends all logs of this process to standard output, bounded and never blocking."""
    while installed:
        installed.pop().pop_application()
    handler = LineHandler(level, lines_per_second)
    handler.push_application()
    installed.append(handler)
    redirect_logging(set_root_logger_level=False)
    logging.captureWarnings(True)
    return handler.writer


def format_record(record: Any, handler: Any) -> str:
    """Returns one JSON line for a log record, whatever the record holds."""
    log_counts.count(record.level_name)
    try:
        return json.dumps(build_line(record))
    except Exception as error:
        line = {
            "level": "error",
            "logger": "verbenacross.observability",
            "message": "a log record could not be formatted",
            "error": describe(error),
        }
        return json.dumps(line)


def build_line(record: Any) -> dict[str, Any]:
    """Returns the members of a line."""
    line = {
        "time": record.time.isoformat(timespec="milliseconds") + "Z",
        "level": record.level_name.lower(),
        "logger": describe(record.channel),
        "message": cut(read_message(record)),
    }
    for name, value in record.extra.items():
        text = describe(name)
        line[f"extra_{text}" if text in RESERVED_NAMES else text] = clean(value)
    if record.formatted_exception:
        line["exception"] = cut(record.formatted_exception)
    return line


def read_message(record: Any) -> str:
    """Returns the message, or its template when the arguments do not fit."""
    try:
        return str(record.message)
    except Exception:
        return f"{describe(record.msg)} (arguments: {describe(record.args)})"


def clean(value: Any, depth: int = 0) -> Any:
    """Returns a value as JSON can hold it; anything else becomes a text."""
    match value:
        case None | bool():
            return value
        case int() if value.bit_length() <= 64:
            return int(value)
        case float() if math.isfinite(value):
            return float(value)
        case dict() if depth < MAX_DEPTH:
            parts = list(value.items())[:MAX_ITEMS]
            return {describe(name): clean(part, depth + 1) for name, part in parts}
        case list() | tuple() | set() | frozenset() if depth < MAX_DEPTH:
            return [clean(part, depth + 1) for part in list(value)[:MAX_ITEMS]]
        case _:
            return describe(value)


def describe(value: Any) -> str:
    """Returns the text of any value, also of one whose ``__str__`` raises."""
    try:
        return cut(str(value))
    except Exception as error:
        return f"<{type(value).__name__} without text: {type(error).__name__}>"


def cut(text: str) -> str:
    """Returns a text of bounded length."""
    if len(text) <= MAX_TEXT_CHARACTERS:
        return text
    return text[:MAX_TEXT_CHARACTERS] + "..."
