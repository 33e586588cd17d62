"""Formatting of tables for terminals."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


def format_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Formats rows as aligned columns, with control characters escaped."""
    lines = [
        list(header),
        *([escape_control_characters(cell) for cell in row] for row in rows),
    ]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def escape_control_characters(text: str) -> str:
    """Escapes non-printable characters, which could control the terminal."""
    return "".join(
        character if character.isprintable() else repr(character)[1:-1]
        for character in text
    )
