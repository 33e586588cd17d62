"""Parses JSON documents strictly and collects the faults of their text."""

from __future__ import annotations

import json
import re
from typing import Any

from .finding import Finding

MAX_DOCUMENT_BYTES = 1_048_576
MAX_DEPTH = 32
MAX_FINDINGS = 100
MAX_MESSAGE_CHARACTERS = 500
PLAIN_NAME = re.compile(r"[A-Za-z_][A-Za-z0-9_-]*")


class JsonObject(dict[str, Any]):
    """A JSON object that records the names that occur in it more than once."""

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        self.duplicates: list[str] = []
        if len(self) < len(pairs):
            seen: set[str] = set()
            for name, _ in pairs:
                if name in seen and name not in self.duplicates:
                    self.duplicates.append(name)
                seen.add(name)


class InvalidDocumentError(ValueError):
    """The text is not a valid JSON document; carries the findings."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__(findings)
        self.findings = findings


def parse_document(data: bytes, source: str) -> JsonObject:
    """Parses a JSON object; raises ``InvalidDocumentError`` if it is malformed."""
    try:
        return decode_object(data)
    except RecursionError as error:
        message = f"the document is nested more than {MAX_DEPTH} deep"
        raise InvalidDocumentError([Finding(source, "$", message)]) from error
    except ValueError as error:
        message = str(error)[:MAX_MESSAGE_CHARACTERS]
        raise InvalidDocumentError([Finding(source, "$", message)]) from error


def decode_object(data: bytes) -> JsonObject:
    """Parses a JSON object; raises ``ValueError`` if it is malformed."""
    if len(data) > MAX_DOCUMENT_BYTES:
        raise ValueError(
            f"the document is too large, at most {MAX_DOCUMENT_BYTES} bytes are allowed"
        )
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        raise ValueError(f"the document is not UTF-8: {error}") from error
    try:
        document = json.loads(
            text, object_pairs_hook=JsonObject, parse_constant=reject_constant
        )
    except json.JSONDecodeError as error:
        raise ValueError(f"the document is not JSON: {error}") from error
    if not isinstance(document, JsonObject):
        raise ValueError("the document must be a JSON object")
    return document


def reject_constant(name: str) -> None:
    """Raises ``ValueError`` for ``NaN`` and infinities, which are not JSON."""
    raise ValueError(f"the document is not JSON: {name} is not a JSON number")


def find_duplicate_names(document: Any, source: str) -> list[Finding]:
    """Returns a finding for each duplicate name, or one if the nesting is too deep."""
    findings: list[Finding] = []
    pending: list[tuple[tuple[int | str, ...], Any]] = [((), document)]
    while pending:
        location, value = pending.pop()
        if len(location) > MAX_DEPTH:
            message = f"the document is nested more than {MAX_DEPTH} deep"
            return [Finding(source, "$", message)]
        if isinstance(value, JsonObject):
            findings += [
                Finding(source, format_path((*location, name)), "the name occurs twice")
                for name in value.duplicates
            ]
            pending += [((*location, name), part) for name, part in value.items()]
        elif isinstance(value, list):
            pending += [((*location, index), part) for index, part in enumerate(value)]
    return sorted(findings)


def format_path(location: tuple[int | str, ...]) -> str:
    """Formats a JSON path such as ``$.peers[0]`` or ``$["odd name"]``."""
    return "$" + "".join(map(format_step, location))


def format_step(step: int | str) -> str:
    """Formats one step of a JSON path."""
    if isinstance(step, int):
        return f"[{step}]"
    if PLAIN_NAME.fullmatch(step):
        return f".{step}"
    return f"[{json.dumps(step[:MAX_MESSAGE_CHARACTERS])}]"


def limit_findings(findings: list[Finding]) -> list[Finding]:
    """Truncates findings to ``MAX_FINDINGS``; a last one counts the omitted ones."""
    if len(findings) <= MAX_FINDINGS:
        return findings
    more = len(findings) - MAX_FINDINGS
    last = Finding(findings[0].source, "$", f"{more} more findings are not shown")
    return [*findings[:MAX_FINDINGS], last]
