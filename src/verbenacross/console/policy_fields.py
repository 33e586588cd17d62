"""Conversion of policies to documents, and comparison of such documents."""

from __future__ import annotations

from typing import Any, NamedTuple


class FieldChange(NamedTuple):
    """A field that differs between two documents; ``None`` if it is absent."""

    path: str
    old: Any
    new: Any


def to_document(value: Any) -> Any:
    """Converts named tuples to dictionaries and other tuples to lists, recursively."""
    if hasattr(value, "_asdict"):
        return {name: to_document(part) for name, part in value._asdict().items()}
    if isinstance(value, tuple):
        return [to_document(part) for part in value]
    return value


def find_changes(old: Any, new: Any, path: str = "$") -> list[FieldChange]:
    """Returns the fields that differ between two documents, in document order.

    Lists of different lengths are reported as one change.
    """
    if isinstance(old, dict) and isinstance(new, dict):
        names = [*old, *(name for name in new if name not in old)]
        return [
            change
            for name in names
            for change in find_changes(old.get(name), new.get(name), f"{path}.{name}")
        ]
    if isinstance(old, list) and isinstance(new, list) and len(old) == len(new):
        return [
            change
            for index, pair in enumerate(zip(old, new, strict=True))
            for change in find_changes(*pair, f"{path}[{index}]")
        ]
    return [] if old == new else [FieldChange(path, old, new)]
