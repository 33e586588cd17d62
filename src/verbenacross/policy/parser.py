"""Checks policy records."""

from __future__ import annotations

from ..documents.document import InvalidDocumentError
from ..settings import Finding
from ..settings.typed_document import load_document
from .exceptions import PolicyError
from .policy import Policy
from .policy_record import build_key


def parse_policy(body: bytes, source: str) -> Policy:
    """Returns the policy in a JSON body.

    ``source`` is the file or store key that findings name. Raises ``PolicyError`` with
    every finding.
    """
    try:
        return load_document(body, source, Policy)
    except InvalidDocumentError as error:
        raise PolicyError(error.findings) from error


def parse_record_body(body: bytes, key: str) -> Policy:
    """Returns the policy of a record, which must name the key that holds it."""
    policy = parse_policy(body, key)
    expected = build_key(policy.service, policy.version)
    if expected != key:
        raise PolicyError(
            [Finding(key, "$", f"service and version belong to key {expected}")]
        )
    return policy
