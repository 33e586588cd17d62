"""Logs as JSON lines on standard error."""

from __future__ import annotations

import json
import sys
from typing import Any

import logbook


def format_record(record: Any, handler: Any) -> str:
    """Returns one JSON line for a log record; ``extra`` fields become members."""
    line = {
        "time": record.time.isoformat(timespec="milliseconds") + "Z",
        "level": record.level_name.lower(),
        "logger": record.channel,
        "message": record.message,
        **record.extra,
    }
    if record.formatted_exception:
        line["exception"] = record.formatted_exception
    return json.dumps(line, default=str)


def configure_logs(level: str) -> None:
    """Sends all logs of this process to standard error as JSON lines."""
    handler = logbook.StreamHandler(sys.stderr, level=level)
    handler.formatter = format_record
    handler.push_application()
