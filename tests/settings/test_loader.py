"""Findings of invalid settings files, reported together with their JSON paths."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenacross.documents.document import InvalidDocumentError
from verbenacross.settings import (
    AgentSettings,
    ClientSettings,
    EntrySettings,
    SettingsError,
    load_settings,
)
from verbenacross.settings.typed_document import load_document

AGENT = {
    "instance": "i",
    "failure_domain": "a",
    "peer_listen": "10.0.0.1:1",
    "entry_listen": "127.0.0.1:2",
    "admin_listen": "127.0.0.1:3",
    "store_url": "http://10.0.0.2:80",
    "list_url": "http://10.0.0.2:80",
    "shared_key": "0123456789abcdef",
}
ENTRY = {
    "instance": "i",
    "failure_domain": "a",
    "listen": "10.0.0.1:1",
    "admin_listen": "127.0.0.1:3",
    "agent": "127.0.0.1:2",
    "store_url": "http://10.0.0.2:80",
}
KINDS = [AgentSettings, EntrySettings, ClientSettings]


def find_paths(document, kind):
    text = document if isinstance(document, bytes) else json.dumps(document).encode()
    try:
        load_document(text, "f", kind)
    except InvalidDocumentError as error:
        return [finding.path for finding in error.findings]
    return []


def test_valid_settings_have_no_findings():
    """Guards against validation that rejects valid settings."""
    assert not find_paths(AGENT | {"seeds": ["10.0.0.9:1"]}, AgentSettings)
    assert not find_paths(AGENT | {"log_level": "DEBUG"}, AgentSettings)
    assert not find_paths(ENTRY, EntrySettings)
    assert not find_paths({"store_url": "http://h:1"}, ClientSettings)


@pytest.mark.parametrize(
    ("kind", "document", "paths"),
    [
        (AgentSettings, AGENT | {"peer_links": True}, ["$.peer_links"]),
        (EntrySettings, ENTRY | {"agent": ["", 0]}, ["$.agent"]),
        (AgentSettings, AGENT | {"seeds": [["", 0]]}, ["$.seeds[0]"]),
        (AgentSettings, AGENT | {"peer_links": "6"}, ["$.peer_links"]),
        (AgentSettings, AGENT | {"log_level": "LOUD"}, ["$.log_level"]),
        (AgentSettings, AGENT | {"odd name": 1}, ['$["odd name"]']),
        (AgentSettings, AGENT | {"store_url": "10.0.0.2:80"}, ["$.store_url"]),
        (AgentSettings, AGENT | {"store_url": "http://h:0"}, ["$.store_url"]),
        (AgentSettings, AGENT | {"peer_listen": "0.0.0.0:1"}, ["$.peer_listen"]),
        (AgentSettings, AGENT | {"peer_listen": ["10.0.0.1", 1]}, ["$.peer_listen"]),
        (AgentSettings, AGENT | {"seeds": ["10.0.0.1:1", "x:1"]}, ["$.seeds[1]"]),
        (AgentSettings, AGENT | {"entry_listen": "127.0.0.1:3"}, ["$.admin_listen"]),
        (AgentSettings, AGENT | {"admin_listen": "0.0.0.0:2"}, ["$.admin_listen"]),
        (EntrySettings, ENTRY | {"agent": "10.0.0.1:2"}, ["$.agent"]),
        (EntrySettings, ENTRY | {"listen": "127.0.0.1:3"}, ["$.admin_listen"]),
        (
            ClientSettings,
            {"store_url": "http://h", "agents": ["[::1]:1", "[::1]:1"]},
            ["$.agents[1]"],
        ),
        # An invalid field does not hide a conflict between two others.
        (
            AgentSettings,
            AGENT | {"log_level": 1, "entry_listen": "127.0.0.1:3", "zz": 0},
            ["$.log_level", "$.zz", "$.admin_listen"],
        ),
        (
            ClientSettings,
            b'{"store_url": "http://h", "store_url": "http://h", "timeout_ms": 0}',
            ["$.store_url", "$.timeout_ms"],
        ),
    ],
)
def test_findings_name_their_fields(kind, document, paths):
    """Guards each check, and against one fault that hides another."""
    assert sorted(find_paths(document, kind)) == sorted(paths)


@pytest.mark.parametrize(
    ("content", "message"),
    [
        (None, "cannot be read"),
        (b"", "not JSON"),
        (b"[]", "must be a JSON object"),
        (b'{"a": NaN}', "NaN"),
        (b'{"a": "\xff"}', "not UTF-8"),
        (b'{"a":' + b"[" * 50_000, "nested"),
        (b'{"a":' + b"[" * 40 + b"]" * 40 + b"}", "nested"),
        (b" " * 2_000_000, "too large"),
    ],
)
def test_unusable_files_are_findings(tmp_path, content, message):
    """Guards against a traceback for a file that is not a valid JSON document."""
    path = tmp_path / "settings.json"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(SettingsError) as caught:
        load_settings(str(path), ClientSettings)
    assert message in str(caught.value)
    assert str(path) in str(caught.value)


def test_findings_are_bounded():
    """Guards agents, which store and log findings, against a malicious record."""
    names = ", ".join(f'"n{number}": 1' for number in range(5_000))
    assert len(find_paths(f"{{{names}}}".encode(), ClientSettings)) <= 101


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda part: st.lists(part, max_size=3) | st.dictionaries(st.text(), part),
    max_leaves=8,
)


@settings(max_examples=300, deadline=None)
@given(st.sampled_from(KINDS), st.data())
def test_no_document_raises_anything_else(kind, data):
    """Guards against crashes on well-formed JSON with unexpected values."""
    base = {AgentSettings: AGENT, EntrySettings: ENTRY, ClientSettings: {}}[kind]
    names = st.sampled_from(kind._fields) | st.text(max_size=8)
    changes = data.draw(st.dictionaries(names, JSON_VALUES, max_size=4))
    text = json.dumps(base | changes).encode()
    assert all(path.startswith("$") for path in find_paths(text, kind))


@settings(max_examples=300, deadline=None)
@given(st.sampled_from(KINDS), st.binary(max_size=60))
def test_no_bytes_raise_anything_else(kind, data):
    """Guards against crashes on bytes that are not JSON."""
    find_paths(data, kind)
    find_paths(b'{"store_url":' + data, kind)
