"""Loading of policy files."""

from __future__ import annotations

from typing import NamedTuple

from ..documents.file import read_file
from ..policy import Policy, PolicyError, parse_policy
from ..policy.policy_record import build_key
from ..settings import SettingsError
from .exceptions import CommandError
from .store_session import build_invalid_result


class PolicyFile(NamedTuple):
    """A valid policy file; ``body`` is written to the store unchanged."""

    policy: Policy
    body: bytes

    def __str__(self) -> str:
        return f"key {self.key}"

    @property
    def key(self) -> str:
        """Key of the policy in the store."""
        return build_key(self.policy.service, self.policy.version)


def read_policy_file(path: str) -> PolicyFile:
    """Reads and validates a policy file.

    Raises ``CommandError`` with all findings if the file is invalid.
    """
    try:
        body = read_file(path)
        return PolicyFile(parse_policy(body, path), body)
    except (PolicyError, SettingsError) as error:
        raise CommandError(build_invalid_result(error.findings)) from error
