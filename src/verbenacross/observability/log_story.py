"""Finds the lines of one request, upstream or version in the logs of many instances."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

STORY_FIELDS = ("time", "level", "logger", "message", "instance")
VERSION_MESSAGES = frozenset(
    {
        "configuration in force",
        "configuration cannot be used, the last one stays in force",
    }
)


class StoryQuery(NamedTuple):
    """What to look for; an empty field matches any line."""

    request: str = ""
    upstream: str = ""
    version: int | None = None

    def matches(self, line: dict[str, Any]) -> bool:
        """Returns whether a line belongs to the story."""
        if self.request and line.get("request_id") != self.request:
            return False
        if self.upstream and line.get("upstream") != self.upstream:
            return False
        if self.version is None:
            return True
        is_about_versions = line.get("message") in VERSION_MESSAGES
        return is_about_versions and line.get("version") in (self.version, None)


class StoryLine(NamedTuple):
    """A log line and the name of the instance that wrote it."""

    time: str
    instance: str
    fields: dict[str, Any]

    def format(self) -> str:
        """Returns the line for people."""
        details = " ".join(
            f"{name}={json.dumps(value)}"
            for name, value in self.fields.items()
            if name not in STORY_FIELDS
        )
        message = self.fields.get("message", "")
        return f"{self.time} {self.instance:<24} {message}: {details}"


def find_story(lines: Iterable[str], source: str, query: StoryQuery) -> list[StoryLine]:
    """Returns the matching lines of one log.

    Text before the JSON object of a line, as log collectors add it, names the instance;
    else ``source`` does. Lines without a JSON object are passed over.
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
            found.append(StoryLine(str(fields.get("time", "")), instance, fields))
    return found
