"""Parses and validates policy records."""

from __future__ import annotations

from ..documents.document import InvalidDocumentError
from ..settings import Finding
from ..settings.typed_document import load_document
from .exceptions import PolicyError
from .policy import Policy
from .policy_record import build_key


def parse_policy(body: bytes, source: str) -> Policy:
    """Parses and validates a policy in JSON.

    Findings name ``source``, a file or store key. Raises ``PolicyError`` with every
    finding.
    """
    try:
        return load_document(body, source, Policy)
    except InvalidDocumentError as error:
        raise PolicyError(error.findings) from error


def parse_record_body(body: bytes, key: str) -> Policy:
    """Parses the policy of a record, whose service and version must match its key."""
    policy = parse_policy(body, key)
    expected = build_key(policy.service, policy.version)
    if expected != key:
        raise PolicyError(
            [Finding(key, "$", f"service and version belong to key {expected}")]
        )
    return policy
