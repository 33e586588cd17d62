"""Decoding of server entries, including malformed ones from other writers."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenacross.infrastructure.key_value_store import StoredValue
from verbenacross.node.changes import UpstreamChange
from verbenacross.platform.records import decode_change

ENTRY = {
    "address": "10.128.0.9:8080",
    "info": {
        "service": "layers",
        "version": "v1",
        "zone": "be-central-a",
        "max_concurrency": 6,
    },
    "status": {"state": "ready", "sequence": 4, "warmup_left": "1500ms"},
    "born": 1_760_000_000_000,
}
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=8), children, max_size=3)
    ),
    max_leaves=8,
)


def read(data: bytes | None, revision: int = 5) -> UpstreamChange:
    change = decode_change(StoredValue("servers/i-7f3a", data, revision))
    assert isinstance(change, UpstreamChange)
    return change


def replace_field(path: str, value: object) -> bytes:
    entry = json.loads(json.dumps(ENTRY))
    *parents, name = path.split(".")
    target = entry
    for parent in parents:
        target = target[parent]
    target[name] = value
    return json.dumps(entry).encode()


def remove_field(path: str) -> bytes:
    entry = json.loads(json.dumps(ENTRY))
    *parents, name = path.split(".")
    target = entry
    for parent in parents:
        target = target[parent]
    del target[name]
    return json.dumps(entry).encode()


def test_sound_entry():
    upstream = read(json.dumps(ENTRY).encode()).upstream

    assert upstream.id == "i-7f3a"
    assert upstream.address == "10.128.0.9:8080"
    assert upstream.service == "layers"
    assert upstream.failure_domain == "be-central-a"
    assert upstream.slots == 6
    assert upstream.cold_start_s == 1.5
    assert upstream.started_ms == 1_760_000_000_000
    assert not upstream.draining


def test_draining():
    assert read(replace_field("status.state", "draining")).upstream.draining


def test_removed_entry():
    assert read(None) == UpstreamChange("i-7f3a", 5, None)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("address", None),
        ("address", 8080),
        ("address", "10.128.0.9"),
        ("info", []),
        ("info.service", 3),
        ("info.version", 3),
        ("info.zone", None),
        ("info.max_concurrency", "6"),
        ("info.max_concurrency", 0),
        ("status", "ready"),
        ("status.state", "resting"),
        ("status.warmup_left", 1500),
        ("status.warmup_left", None),
        ("status.sequence", "4"),
        ("status.sequence", None),
        ("status.sequence", False),
        ("born", 1.5),
        ("born", "1760000000000"),
        ("born", None),
        ("born", False),
    ],
)
def test_spoilt_entry_names_no_upstream_and_says_why(path, value):
    change = read(replace_field(path, value))

    assert change.upstream is None
    assert path.split(".")[0] in change.error


@pytest.mark.parametrize(
    "path",
    [
        "address",
        "born",
        "info",
        "info.service",
        "info.version",
        "info.zone",
        "info.max_concurrency",
        "status",
        "status.state",
        "status.sequence",
        "status.warmup_left",
    ],
)
def test_entry_without_a_field_names_no_upstream(path):
    """Guards against requests to a draining server for the entry of another writer."""
    change = read(remove_field(path))

    assert change.upstream is None
    assert path in change.error


@given(st.binary(max_size=64) | JSON_VALUES.map(lambda v: json.dumps(v).encode()))
def test_nothing_in_an_entry_raises(data):
    read(data)
