"""Reads typed fields of a JSON document and collects the findings."""

from __future__ import annotations

import math
from typing import Any

from .address import Address
from .document import InvalidDocumentError, format_path, limit_findings, parse_document
from .durations import parse_duration
from .finding import Finding

Location = tuple[int | str, ...]


class Fields:
    """The fields of one object in a document.

    Each ``get_`` method returns the field; if it is invalid, it adds a finding and
    returns a placeholder. ``Document.finish`` raises if there are findings.
    """

    def __init__(self, document: Document, value: Any, location: Location) -> None:
        self._document = document
        self._location = location
        self._fields: dict[str, Any] = value if isinstance(value, dict) else {}
        if not isinstance(value, dict):
            document.add_finding(location, "must be an object")

    def has(self, name: str) -> bool:
        """Returns whether a field is present and not null."""
        return self._fields.get(name) is not None

    def get_string(self, name: str, default: str | None = None) -> str:
        """Returns a string that is not empty."""
        value = self._fields.get(name, default)
        if isinstance(value, str) and value and is_encodable(value):
            return value
        self.add_finding(name, "must be a text")
        return ""

    def get_strings(self, name: str) -> list[str]:
        """Returns a list of strings, empty if the field is absent."""
        value = self._fields.get(name) or []
        if isinstance(value, list) and all(isinstance(part, str) for part in value):
            return value
        self.add_finding(name, "must be a list of texts")
        return []

    def get_bool(self, name: str, *, default: bool) -> bool:
        """Returns a Boolean."""
        value = self._fields.get(name, default)
        if isinstance(value, bool):
            return value
        self.add_finding(name, "must be true or false")
        return default

    def get_int(
        self,
        name: str,
        minimum: int,
        default: int | None = None,
        maximum: int | None = None,
    ) -> int:
        """Returns an integer of at least ``minimum`` and at most ``maximum``."""
        value = self._fields.get(name, default)
        if not isinstance(value, int) or isinstance(value, bool) or value < minimum:
            self.add_finding(name, f"must be a whole number of at least {minimum}")
            return minimum
        if maximum is not None and value > maximum:
            self.add_finding(name, f"must be a whole number of at most {maximum}")
            return minimum
        return value

    def get_number(
        self,
        name: str,
        minimum: float,
        default: float | None = None,
        maximum: float = math.inf,
    ) -> float:
        """Returns a number of at least ``minimum`` and at most ``maximum``."""
        value = self._fields.get(name, default)
        if (
            isinstance(value, int | float)
            and not isinstance(value, bool)
            and value >= minimum
        ):
            try:
                number = float(value)
            except OverflowError:
                number = math.inf
            if number < math.inf and number <= maximum:
                return number
            if number < math.inf:
                self.add_finding(name, f"must be a number of at most {maximum:g}")
                return minimum
        self.add_finding(name, f"must be a finite number of at least {minimum}")
        return minimum

    def get_duration(
        self, name: str, default: str | None = None, maximum_s: float = math.inf
    ) -> float:
        """Returns a duration in seconds, at most ``maximum_s``."""
        try:
            duration_s = parse_duration(self._fields.get(name, default))
        except ValueError as error:
            self.add_finding(name, str(error))
            return 0.0
        if duration_s <= maximum_s and duration_s < math.inf:
            return duration_s
        limit = f"at most {maximum_s:g}s" if maximum_s < math.inf else "finite"
        self.add_finding(name, f"must be {limit}")
        return 0.0

    def get_address(self, name: str) -> Address:
        """Returns an IP address with a port."""
        try:
            return Address.from_text(self.get_string(name))
        except ValueError as error:
            self.add_finding(name, str(error))
            return Address("0.0.0.0", 0)

    def get_object(self, name: str) -> Fields:
        """Returns the fields of a nested object."""
        return Fields(self._document, self._fields.get(name), (*self._location, name))

    def get_objects(self, name: str) -> list[Fields]:
        """Returns the fields of each object in a list."""
        value = self._fields.get(name)
        if not isinstance(value, list):
            self.add_finding(name, "must be a list")
            return []
        return [
            Fields(self._document, part, (*self._location, name, index))
            for index, part in enumerate(value)
        ]

    def add_finding(self, name: str, message: str) -> None:
        """Adds a finding about a field."""
        self._document.add_finding((*self._location, name), message)


class Document:
    """A JSON document and the findings collected so far."""

    def __init__(self, source: str, data: bytes) -> None:
        """Parses a JSON object; raises ``InvalidDocumentError`` if it is malformed."""
        self._source = source
        self._findings: list[Finding] = []
        self.root = Fields(self, parse_document(data, source), ())

    def add_finding(self, location: Location, message: str) -> None:
        """Adds a finding about a location."""
        self._findings.append(Finding(self._source, format_path(location), message))

    def finish(self) -> None:
        """Raises ``InvalidDocumentError`` with every finding, if there are any."""
        if self._findings:
            raise InvalidDocumentError(limit_findings(self._findings))


def is_encodable(text: str) -> bool:
    """Returns whether a text has no unpaired surrogates, which JSON can escape."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
