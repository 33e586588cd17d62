"""The field tables in the docs match the code."""

import json
import pathlib
import re
import types
import typing

import pytest
from aioprometheus import Registry

from verbenacross.console.exit_code import ExitCode
from verbenacross.console.process_runner import ProcessExitCode
from verbenacross.observability.process_metrics import ProcessMetrics
from verbenacross.policy import Policy, PolicyTable
from verbenacross.settings import Address, AgentSettings, ClientSettings, EntrySettings
from verbenacross.settings.string_types import HttpUrl

OPERATORS = pathlib.Path(__file__).resolve().parents[2] / "docs" / "operators"
UNITS = {"_ms": "ms", "_s": "s", "_bytes": "bytes"}
RATES = {
    "bytes_per_second": "bytes/s",
    "requests_per_second": "requests/s",
    "probes_per_second": "probes/s",
}


def find_unit(name):
    for suffix, unit in (RATES | UNITS).items():
        if name.endswith(suffix):
            return unit
    return "-"


def find_bounds(hint):
    """Returns the bounds in an annotated type by kind, such as ``ge``."""
    bounds = {}
    for note in getattr(hint, "__metadata__", ()):
        for part in getattr(note, "metadata", [note]):
            for kind in ("ge", "gt", "le", "min_length", "max_length", "pattern"):
                value = getattr(part, kind, None)
                if value is not None:
                    bounds[kind] = value
    return bounds


def describe_number(bounds):
    low = f"above {bounds['gt']}" if "gt" in bounds else f"at least {bounds.get('ge')}"
    if "le" not in bounds:
        return low
    if "ge" in bounds:
        return f"{bounds['ge']} to {bounds['le']}"
    return f"{low}, at most {bounds['le']}"


def describe_text(bounds):
    if "pattern" in bounds:
        return f"matches `{bounds['pattern']}`"
    if "max_length" in bounds:
        return f"{bounds['min_length']} to {bounds['max_length']} characters"
    if "min_length" in bounds:
        return f"at least {bounds['min_length']} characters"
    return "text"


def describe_range(hint):
    if hint == HttpUrl:
        return "http or https URL"
    origin, parts = typing.get_origin(hint), typing.get_args(hint)
    if origin in (typing.Union, types.UnionType):
        return f"{describe_range(parts[0])}, or null"
    if origin is tuple:
        return f"list: {describe_range(parts[0])}"
    if origin is typing.Literal:
        return " or ".join(f"`{json.dumps(part)}`" for part in parts)
    base = parts[0] if origin is typing.Annotated else hint
    if base is Address:
        return "IP:PORT"
    if base is bool:
        return "true or false"
    bounds = find_bounds(hint)
    return describe_text(bounds) if base is str else describe_number(bounds)


def describe_default(kind, name):
    if name not in kind._field_defaults:
        return "required"
    return f"`{json.dumps(kind._field_defaults[name])}`"


def list_fields(kind, prefix=""):
    """Yields path, unit, default and range of each field, nested ones included."""
    for name, hint in typing.get_type_hints(kind, include_extras=True).items():
        path = prefix + name
        element = typing.get_args(hint)[0] if typing.get_origin(hint) is tuple else hint
        if isinstance(element, type) and hasattr(element, "_fields"):
            if element is not hint:
                yield path, "-", describe_default(kind, name), "list of objects"
                path += "[]"
            yield from list_fields(element, path + ".")
            continue
        yield path, find_unit(name), describe_default(kind, name), describe_range(hint)


def read_table(page, heading):
    """Returns the rows of the first table below a heading, by their first cell."""
    text = (OPERATORS / page).read_text().split(f"## {heading}\n", 1)[1]
    text = re.split(r"^#", text, maxsplit=1, flags=re.MULTILINE)[0]
    lines = [line for line in text.splitlines() if line.startswith("|")]
    rows = [[cell.strip() for cell in line.split("|")[1:-1]] for line in lines[2:]]
    return {row[0].strip("`"): row[1:] for row in rows}


@pytest.mark.parametrize(
    ("page", "heading", "kind"),
    [
        ("policies.md", "Fields", Policy),
        ("settings.md", "Agent", AgentSettings),
        ("settings.md", "Entry", EntrySettings),
        ("settings.md", "Operators' command", ClientSettings),
    ],
)
def test_field_table_matches_the_code(page, heading, kind):
    """Guards the pages against fields, defaults and ranges that have changed."""
    table = read_table(page, heading)
    expected = {path: list(rest) for path, *rest in list_fields(kind)}
    assert {path: row[:3] for path, row in table.items()} == expected
    assert all(len(row[3]) > 10 for row in table.values())


@pytest.mark.parametrize(
    ("page", "codes"), [("policies.md", ExitCode), ("settings.md", ProcessExitCode)]
)
def test_exit_codes_match_the_code(page, codes):
    """Guards scripts of operators against exit codes that have changed."""
    table = read_table(page, "Exit codes")
    expected = {str(int(code)): code.name.lower() for code in codes}
    assert {code: row[0].strip("`") for code, row in table.items()} == expected


def test_metrics_table_matches_the_code():
    """Guards dashboards against metrics that were renamed."""
    registry = Registry()
    ProcessMetrics(registry, PolicyTable())
    names = {collector.name for collector in registry.get_all()}
    assert set(read_table("settings.md", "Admin endpoints")) == names
