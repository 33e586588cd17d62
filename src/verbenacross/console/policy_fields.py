"""Fields of policies, with their defaults filled in."""

from __future__ import annotations

from typing import Any, NamedTuple


class FieldChange(NamedTuple):
    """A field that differs; ``None`` stands for a field that is absent."""

    path: str
    old: Any
    new: Any


def expand(value: Any) -> Any:
    """Returns a value with named tuples as objects and other tuples as lists."""
    if hasattr(value, "_asdict"):
        return {name: expand(part) for name, part in value._asdict().items()}
    if isinstance(value, tuple):
        return [expand(part) for part in value]
    return value


def find_changes(old: Any, new: Any, path: str = "$") -> list[FieldChange]:
    """Returns the fields that differ between two documents, in document order."""
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
