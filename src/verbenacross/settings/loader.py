"""Reads settings files."""

from __future__ import annotations

import pathlib
from typing import TypeVar

from .document import MAX_DOCUMENT_BYTES, DocumentFaultError
from .exceptions import SettingsError
from .finding import Finding
from .typed_document import load_document

Loaded = TypeVar("Loaded")


def read_file(path: str) -> bytes:
    """Returns the content of a file, cut one byte above the allowed size.

    Raises ``SettingsError`` when it cannot be read.
    """
    try:
        with pathlib.Path(path).open("rb") as file:
            return file.read(MAX_DOCUMENT_BYTES + 1)
    except (OSError, ValueError) as error:
        message = (
            f"the file cannot be read: {getattr(error, 'strerror', None) or error}"
        )
        raise SettingsError([Finding(path, "$", message)]) from error


def load_settings(path: str, kind: type[Loaded]) -> Loaded:
    """Returns the settings in a JSON file.

    Raises ``SettingsError`` with every finding when the file cannot be used.
    """
    data = read_file(path)
    try:
        return load_document(data, path, kind)
    except DocumentFaultError as error:
        raise SettingsError(error.findings) from error
