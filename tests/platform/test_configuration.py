"""Decoding of the operator's configuration into a route table."""

from __future__ import annotations

import copy
import json

import pytest

from verbenacross.documents.document import InvalidDocumentError
from verbenacross.platform.configuration import decode_configuration

CONFIGURATION = {
    "version": 7,
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15s",
    },
    "listeners": [
        {
            "host": "Layers.example",
            "rules": [
                {
                    "name": "r-1",
                    "kind": "safe",
                    "target_latency": "400ms",
                    "priority": 2,
                    "match": {"path_prefix": "/maps/"},
                    "action": {
                        "weighted_services": [
                            {"service": "one", "weight": 90},
                            {"service": "two", "weight": 10},
                        ],
                        "timeout": "1.5s",
                        "max_attempts": 2,
                    },
                },
                {
                    "name": "r-2",
                    "kind": "unsafe",
                    "target_latency": "500ms",
                    "priority": 0,
                    "match": {"path_prefix": "/publish/"},
                    "action": {"service": "two", "timeout": "1s", "max_attempts": 1},
                },
            ],
        }
    ],
    "clusters": [
        {"name": "one", "health_check_path": "/health", "max_connections": 260},
        {"name": "two", "health_check_path": "/up", "max_connections": 20},
    ],
}


def decode(document):
    return decode_configuration(json.dumps(document).encode(), revision=12)


def test_all_fields_are_taken():
    table = decode(CONFIGURATION)

    route = table.find("layers.example", "/maps/7")
    assert table.version == 7
    assert table.revision == 12
    assert table.limits.idle_timeout_s == 15.0
    assert table.services["two"].health_path == "/up"
    assert [tuple(part) for part in route.destinations] == [
        ("one", 90.0),
        ("two", 10.0),
    ]
    assert route.timeout_s == 1.5
    assert route.target_latency_s == 0.4


@pytest.mark.parametrize(
    ("kind", "idempotent"),
    [("safe", True), ("download", True), ("unsafe", False), ("keyed", False)],
)
def test_only_the_kind_tells_what_may_be_repeated(kind, idempotent):
    document = copy.deepcopy(CONFIGURATION)
    document["listeners"][0]["rules"][0]["kind"] = kind

    assert decode(document).find("layers.example", "/maps/").idempotent is idempotent


def test_all_faults_are_reported_with_their_places():
    document = copy.deepcopy(CONFIGURATION)
    rules = document["listeners"][0]["rules"]
    del rules[0]["action"]["timeout"]
    rules[1]["action"]["service"] = "three"
    rules[1]["target_latency"] = "soon"
    document["clusters"][0]["max_connections"] = "many"

    with pytest.raises(InvalidDocumentError) as caught:
        decode(document)

    assert {finding.path for finding in caught.value.findings} == {
        "$.listeners[0].rules[0].action.timeout",
        "$.listeners[0].rules[1].action",
        "$.listeners[0].rules[1].target_latency",
        "$.clusters[0].max_connections",
    }


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b"\xff", b'{"version": NaN}'])
def test_unreadable_bytes(data):
    with pytest.raises(InvalidDocumentError):
        decode_configuration(data, revision=1)


def test_unknown_fields_are_ignored():
    document = copy.deepcopy(CONFIGURATION)
    document["new"] = {"anything": 1}
    document["listeners"][0]["rules"][0]["tags"] = []

    assert decode(document).version == 7


def build_document_with_customers(*customers):
    document = copy.deepcopy(CONFIGURATION)
    document["tenants"] = list(customers)
    document["listeners"][0]["rules"][1]["public"] = True
    return document


def test_customers_are_taken_with_their_limits():
    table = decode(
        build_document_with_customers(
            {
                "name": "library",
                "api_keys": ["k1", "k2"],
                "priority": 1,
                "rate_per_s": 134,
                "burst": 20,
            },
            {"name": "school", "api_keys": ["k3"]},
        )
    )

    assert tuple(table.customers.find("k2")) == ("library", 1, 134.0, 20.0)
    assert tuple(table.customers.find("k3")) == ("school", None, 0.0, 0.0)
    assert table.customers.find("k4") is None
    assert not table.find("layers.example", "/maps/").is_public
    assert table.find("layers.example", "/publish/").is_public


def test_configuration_without_customers_needs_no_keys():
    assert decode(CONFIGURATION).customers is None


def test_customer_without_keys_is_allowed():
    """The last key of a customer may be removed before the customer is."""
    table = decode(build_document_with_customers({"name": "library", "api_keys": []}))

    assert table.customers.key_count == 0


def test_faults_of_customers_are_reported_without_the_keys():
    document = build_document_with_customers(
        {"name": "library", "api_keys": ["secret-1", "secret-2"]},
        {"name": "library", "api_keys": ["secret-2"], "priority": -1},
        {"name": "caf\u00e9", "api_keys": [""], "rate_per_s": "many"},
    )

    with pytest.raises(InvalidDocumentError) as caught:
        decode(document)

    findings = caught.value.findings
    assert {finding.path for finding in findings} == {
        "$.tenants[1].name",
        "$.tenants[1].priority",
        "$.tenants[1].api_keys",
        "$.tenants[2].name",
        "$.tenants[2].api_keys",
        "$.tenants[2].rate_per_s",
    }
    text = str(caught.value)
    assert "$.tenants[0].api_keys[1]" in text
    assert "secret" not in text
