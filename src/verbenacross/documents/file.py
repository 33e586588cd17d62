"""Reads files of settings and policies."""

from __future__ import annotations

import pathlib

from .document import MAX_DOCUMENT_BYTES
from .exceptions import SettingsError
from .finding import Finding


def read_file(path: str) -> bytes:
    """Reads a file up to one byte more than a document may have.

    The extra byte lets the parser reject a file that is too large. Raises
    ``SettingsError`` if the file cannot be read.
    """
    try:
        with pathlib.Path(path).open("rb") as file:
            return file.read(MAX_DOCUMENT_BYTES + 1)
    except (OSError, ValueError) as error:
        message = (
            f"the file cannot be read: {getattr(error, 'strerror', None) or error}"
        )
        raise SettingsError([Finding(path, "$", message)]) from error
