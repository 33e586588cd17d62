"""A fault in a JSON document, with its location."""

from typing import NamedTuple


class Finding(NamedTuple):
    """A fault in a JSON document.

    ``source`` is the file or store key, ``path`` the JSON path from the root (``$``).
    """

    source: str
    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.source}: {self.path}: {self.message}"
