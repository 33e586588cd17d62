"""Search in the logs of instances for one request, upstream or configuration."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

STANDARD_FIELDS = ("time", "level", "logger", "message", "instance")
CONFIGURATION_MESSAGES = frozenset(
    {
        "configuration in force",
        "configuration cannot be used, the last one stays in force",
    }
)


class LogQuery(NamedTuple):
    """Search criteria; an empty field matches any line."""

    request: str = ""
    upstream: str = ""
    version: int | None = None

    def matches(self, line: dict[str, Any]) -> bool:
        """Returns whether a log line meets all criteria.

        Lines about a configuration that was rejected carry no version; they match any.
        """
        if self.request and line.get("request_id") != self.request:
            return False
        if self.upstream and line.get("upstream") != self.upstream:
            return False
        if self.version is None:
            return True
        is_about_configuration = line.get("message") in CONFIGURATION_MESSAGES
        return is_about_configuration and line.get("version") in (self.version, None)


class MatchedLine(NamedTuple):
    """A matching log line with the name of the instance that wrote it."""

    time: str
    instance: str
    fields: dict[str, Any]

    def format(self) -> str:
        """Formats the line for terminal output."""
        details = " ".join(
            f"{name}={json.dumps(value)}"
            for name, value in self.fields.items()
            if name not in STANDARD_FIELDS
        )
        message = self.fields.get("message", "")
        return f"{self.time} {self.instance:<24} {message}: {details}"


def find_lines(lines: Iterable[str], source: str, query: LogQuery) -> list[MatchedLine]:
    """Returns the lines of one log that match a query.

    The last word before the JSON object, a prefix that log collectors add, is taken as
    the name of the instance; without a prefix it is ``source``. Lines without a valid
    JSON object are skipped.
    """
    found = []
    for line in lines:
        prefix, brace, rest = line.partition("{")
        if not brace:
            continue
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        if isinstance(fields, dict) and query.matches(fields):
            words = prefix.split()
            instance = words[-1] if words else source
            found.append(MatchedLine(str(fields.get("time", "")), instance, fields))
    return found
