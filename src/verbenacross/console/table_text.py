"""Tables for terminals."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


def format_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Returns aligned columns; control characters are shown escaped."""
    lines = [list(header), *([escape(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def escape(text: str) -> str:
    """Returns a text that cannot move the cursor of a terminal."""
    return "".join(
        character if character.isprintable() else repr(character)[1:-1]
        for character in text
    )
