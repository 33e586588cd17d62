"""Reads policy files of operators."""

from __future__ import annotations

from typing import NamedTuple

from ..documents.file import read_file
from ..policy import Policy, PolicyError, parse_policy
from ..policy.policy_record import build_key
from ..settings import SettingsError
from .exceptions import CommandError
from .store_session import report_findings


class PolicyFile(NamedTuple):
    """A valid policy file with the body that the store receives."""

    policy: Policy
    body: bytes

    def __str__(self) -> str:
        return f"key {self.key}"

    @property
    def key(self) -> str:
        """The store key of the policy."""
        return build_key(self.policy.service, self.policy.version)


def read_policy_file(path: str) -> PolicyFile:
    """Returns the policy in a file; raises ``CommandError`` with every finding."""
    try:
        body = read_file(path)
        return PolicyFile(parse_policy(body, path), body)
    except (PolicyError, SettingsError) as error:
        raise CommandError(report_findings(error.findings)) from error
