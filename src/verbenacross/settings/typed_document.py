"""Validates JSON documents against named tuples and collects the findings."""

from __future__ import annotations

import functools
import types
import typing
from typing import Annotated, Any, NamedTuple, TypeVar, Union, cast

from pydantic import TypeAdapter, ValidationError

from ..documents.document import (
    MAX_MESSAGE_CHARACTERS,
    InvalidDocumentError,
    find_duplicate_names,
    format_path,
    limit_findings,
    parse_document,
)
from ..documents.finding import Finding

if typing.TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

Loaded = TypeVar("Loaded")

build_adapter = functools.cache(TypeAdapter[Any])


class Conflict(NamedTuple):
    """A conflict between several fields, at the path of one of them."""

    path: str
    message: str


def load_document(data: bytes, source: str, kind: type[Loaded]) -> Loaded:
    """Parses and validates a JSON document as a named tuple.

    The static method ``find_conflicts`` of ``kind``, if it exists, is called with the
    valid fields by name. Raises ``InvalidDocumentError`` with every finding.
    """
    document = parse_document(data, source)
    findings = find_duplicate_names(document, source)
    findings += find_arrays(document, kind, source)
    faulty = {finding.path for finding in findings}
    loaded = None
    try:
        loaded = build_adapter(cast("Any", kind)).validate_json(data, strict=True)
        fields = loaded._asdict()
    except ValidationError as error:
        faults = find_faults(error, source)
        findings += [fault for fault in faults if fault.path not in faulty]
        fields = get_valid_fields(document, kind, error)
    # An array passes validation as the fields of a named tuple, unparsed.
    arrays = {location[0] for location in locate_arrays(document, kind, ()) if location}
    fields = {name: value for name, value in fields.items() if name not in arrays}
    findings += [
        Finding(source, conflict.path, conflict.message)
        for conflict in find_conflicts(kind, fields)
    ]
    if findings:
        raise InvalidDocumentError(limit_findings(findings))
    return cast("Loaded", loaded)


def find_faults(error: ValidationError, source: str) -> list[Finding]:
    """Converts a validation error to findings, in document order."""
    return [
        Finding(
            source, format_path(fault["loc"]), fault["msg"][:MAX_MESSAGE_CHARACTERS]
        )
        for fault in error.errors(include_url=False, include_input=False)
    ]


def find_conflicts(kind: Any, fields: Mapping[str, Any]) -> Iterator[Conflict]:
    """Calls the ``find_conflicts`` method of a type, if it exists."""
    find = getattr(kind, "find_conflicts", None)
    return iter(()) if find is None else find(fields)


def get_valid_fields(
    document: dict[str, Any], kind: type, error: ValidationError
) -> dict[str, Any]:
    """Returns the individually valid fields, including defaults."""
    faulty = {fault["loc"][0] for fault in error.errors() if fault["loc"]}
    if not faulty:
        return {}
    fields = dict(kind._field_defaults)  # type: ignore[attr-defined]
    for name, hint in get_hints(kind).items():
        if name in faulty:
            fields.pop(name, None)
        elif name in document:
            adapter = TypeAdapter(hint)
            fields[name] = adapter.validate_python(document[name])
    return fields


def find_arrays(value: Any, hint: Any, source: str) -> list[Finding]:
    """Returns a finding for each array where an object is expected.

    The validation of named tuples also accepts arrays, by position.
    """
    return [
        Finding(source, format_path(location), "must be an object, not an array")
        for location in locate_arrays(value, hint, ())
    ]


def locate_arrays(
    value: Any, hint: Any, location: tuple[int | str, ...]
) -> Iterator[tuple[int | str, ...]]:
    """Yields the locations of arrays where a named tuple is expected."""
    hint = strip_hint(hint)
    if hasattr(hint, "_fields"):
        if isinstance(value, list):
            yield location
        elif isinstance(value, dict):
            for name, part in get_hints(hint).items():
                yield from locate_arrays(value.get(name), part, (*location, name))
    elif typing.get_origin(hint) is tuple and isinstance(value, list):
        element = typing.get_args(hint)[0]
        for index, item in enumerate(value):
            yield from locate_arrays(item, element, (*location, index))


def strip_hint(hint: Any) -> Any:
    """Strips ``Annotated`` and ``None`` from a type hint."""
    if typing.get_origin(hint) is Annotated:
        return strip_hint(typing.get_args(hint)[0])
    if typing.get_origin(hint) in (Union, types.UnionType):
        parts = [part for part in typing.get_args(hint) if part is not type(None)]
        return strip_hint(parts[0])
    return hint


@functools.cache
def get_hints(kind: type) -> dict[str, Any]:
    """Returns the type hints of the fields of a named tuple."""
    return typing.get_type_hints(kind, include_extras=True)
