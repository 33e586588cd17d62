"""Reads JSON documents into typed values and collects what is wrong with them."""

from __future__ import annotations

import pathlib
from typing import TypeVar

from pydantic import TypeAdapter, ValidationError

from .exceptions import SettingsError
from .finding import Finding

Loaded = TypeVar("Loaded")


def find_faults(error: ValidationError, source: str) -> list[Finding]:
    """Returns the findings of a validation error, in document order."""
    return [
        Finding(source, format_path(fault["loc"]), fault["msg"])
        for fault in error.errors(include_url=False, include_input=False)
    ]


def format_path(location: tuple[int | str, ...]) -> str:
    """Returns a JSON path such as ``$.peers[0]``."""
    steps = (f"[{step}]" if isinstance(step, int) else f".{step}" for step in location)
    return "$" + "".join(steps)


def load_settings(path: str, kind: type[Loaded]) -> Loaded:
    """Returns the settings in a JSON file.

    Raises ``SettingsError`` with every finding when the file cannot be used.
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise SettingsError([Finding(path, "$", error.strerror or "")]) from error
    if not text.lstrip().startswith(b"{"):
        raise SettingsError([Finding(path, "$", "the document must be a JSON object")])
    try:
        return TypeAdapter(kind).validate_json(text)
    except ValidationError as error:
        raise SettingsError(find_faults(error, path)) from error
