"""Findings of invalid policy records."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenacross.policy import Policy, PolicyError, parse_policy
from verbenacross.policy.parser import parse_record_body

MINIMAL = {"schema_version": 1, "service": "a", "version": 1}
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda part: (
        st.lists(part, max_size=3)
        | st.dictionaries(st.sampled_from(["names", "slots", "name"]), part)
    ),
    max_leaves=8,
)


def find_paths(document):
    try:
        parse_policy(json.dumps(document).encode(), "f")
    except PolicyError as error:
        return [finding.path for finding in error.findings]
    return []


@pytest.mark.parametrize(
    ("parts", "paths"),
    [
        ({}, []),
        ({"schema_version": 2, "zz": 1}, ["$.schema_version", "$.zz"]),
        ({"version": True}, ["$.version"]),
        ({"service": "A/b"}, ["$.service"]),
        ({"callers": [["x"], True]}, ["$.callers"]),
        ({"classes": [["x"]]}, ["$.classes[0]"]),
        ({"classes": [{"name": "x"}, {"name": "x"}]}, ["$.classes[1].name"]),
        (
            {"limits": {"default_timeout_ms": 9, "max_timeout_ms": 1}, "version": 0},
            ["$.version", "$.limits.default_timeout_ms"],
        ),
        ({"retries": {"hedge_after_ms": 0}}, ["$.retries.hedge_after_ms"]),
    ],
)
def test_findings_name_their_fields(parts, paths):
    """Guards each check of a record, alone and in combination."""
    assert find_paths(MINIMAL | parts) == paths


def test_record_must_name_its_own_key():
    """Guards against a record stored under the key of another version."""
    body = json.dumps(MINIMAL).encode()
    assert parse_record_body(body, "policies/a/1").version == 1
    with pytest.raises(PolicyError):
        parse_record_body(body, "policies/a/2")


@settings(max_examples=300, deadline=None)
@given(st.dictionaries(st.sampled_from(Policy._fields), JSON_VALUES, max_size=4))
def test_no_record_raises_anything_else(parts):
    """Guards agents and entries against a crash on a malformed record."""
    find_paths(MINIMAL | parts)


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=60))
def test_no_bytes_raise_anything_else(data):
    """Guards agents and entries against a crash on bytes that are not JSON."""
    for body in (data, b'{"schema_version":1,"service":' + data):
        try:
            parse_policy(body, "f")
        except PolicyError:
            continue
