"""Loads settings files."""

from __future__ import annotations

from typing import TypeVar

from ..documents.document import InvalidDocumentError
from ..documents.exceptions import SettingsError
from ..documents.file import read_file
from .typed_document import load_document

Loaded = TypeVar("Loaded")


def load_settings(path: str, kind: type[Loaded]) -> Loaded:
    """Loads settings from a JSON file.

    Raises ``SettingsError`` with every finding if the file is unreadable or invalid.
    """
    data = read_file(path)
    try:
        return load_document(data, path, kind)
    except InvalidDocumentError as error:
        raise SettingsError(error.findings) from error
