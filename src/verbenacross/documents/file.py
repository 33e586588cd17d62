"""Reads files of settings and policies."""

from __future__ import annotations

import pathlib

from .document import MAX_DOCUMENT_BYTES
from .exceptions import SettingsError
from .finding import Finding


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
