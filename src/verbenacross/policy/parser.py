"""Checks policy records."""

from __future__ import annotations

from pydantic import TypeAdapter, ValidationError

from ..settings import Finding, find_faults
from .exceptions import PolicyError
from .policy import Policy
from .policy_record import build_key

POLICY_ADAPTER = TypeAdapter(Policy)


def parse_policy(body: bytes, source: str) -> Policy:
    """Returns the policy in a JSON body.

    ``source`` is the file or store key that findings name. Raises ``PolicyError`` with
    every finding.
    """
    if not body.lstrip().startswith(b"{"):
        raise PolicyError([Finding(source, "$", "the record must be a JSON object")])
    try:
        policy = POLICY_ADAPTER.validate_json(body)
    except ValidationError as error:
        raise PolicyError(find_faults(error, source)) from error
    findings = find_conflicts(policy, source)
    if findings:
        raise PolicyError(findings)
    return policy


def parse_record_body(body: bytes, key: str) -> Policy:
    """Returns the policy of a record, which must name the key that holds it."""
    policy = parse_policy(body, key)
    expected = build_key(policy.service, policy.version)
    if expected != key:
        raise PolicyError(
            [Finding(key, "$", f"service and version belong to key {expected}")]
        )
    return policy


def find_conflicts(policy: Policy, source: str) -> list[Finding]:
    """Returns faults that concern several fields."""
    findings = []
    if policy.limits.default_timeout_ms > policy.limits.max_timeout_ms:
        findings.append(
            Finding(
                source,
                "$.limits.default_timeout_ms",
                f"must be at most max_timeout_ms ({policy.limits.max_timeout_ms})",
            )
        )
    names = [request_class.name for request_class in policy.classes]
    for index, name in enumerate(names):
        if name in names[:index]:
            message = f"class {name!r} is defined twice"
            findings.append(Finding(source, f"$.classes[{index}].name", message))
    return findings
