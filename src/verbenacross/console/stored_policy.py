"""Policies as the store holds them."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple

from ..policy import Policy, PolicyError
from ..policy.parser import parse_record_body
from ..policy.policy_record import POLICY_PREFIX

if TYPE_CHECKING:
    from ..platform import KeyValueStore
    from ..settings import Finding
    from .record_writer import CurrentRecord

VALID_PREFIX = "valid/"


class StoredPolicy(NamedTuple):
    """A record of the store; ``policy`` is ``None`` when it has findings."""

    key: str
    revision: int
    text: str
    policy: Policy | None
    findings: tuple[Finding, ...]

    @classmethod
    def from_body(cls, key: str, revision: int, body: bytes) -> StoredPolicy:
        """Returns the record with its policy or its findings."""
        text = body.decode(errors="replace")
        try:
            return cls(key, revision, text, parse_record_body(body, key), ())
        except PolicyError as error:
            return cls(key, revision, text, None, error.findings)

    def get_state(self) -> str:
        """Returns ``active``, ``retired`` or ``invalid``."""
        return "invalid" if self.policy is None else self.policy.state

    def split_key(self) -> tuple[str, str]:
        """Returns the service and the version that the key names."""
        service, _, version = self.key.removeprefix(POLICY_PREFIX).partition("/")
        return service, version

    def get_order(self) -> tuple[str, int, str]:
        """Returns what sorts records by service and number of the version."""
        service, version = self.split_key()
        return service, len(version), version

    def build_data(self) -> dict[str, Any]:
        """Returns the record for scripts, without its body."""
        service, version = self.split_key()
        return {
            "key": self.key,
            "service": service,
            "version": self.policy.version if self.policy else version,
            "revision": self.revision,
            "state": self.get_state(),
            "findings": [finding._asdict() for finding in self.findings],
        }


async def is_retired(store: KeyValueStore, current: CurrentRecord) -> bool:
    """Returns whether the version that a key holds is retired.

    An invalid record leaves the last valid copy in force, which readers keep under
    ``valid/``; then that copy decides.
    """
    if current.body is None:
        return False
    stored = StoredPolicy.from_body(current.key, current.revision, current.body)
    if stored.policy is not None:
        return stored.policy.state == "retired"
    copy = await store.get(VALID_PREFIX + current.key.removeprefix(POLICY_PREFIX))
    return copy is not None and is_retired_copy(copy.value or b"", current.key)


def is_retired_copy(value: bytes, key: str) -> bool:
    """Returns whether the value of a key under ``valid/`` is a retired policy."""
    try:
        record = json.loads(value)["record"]
        body = record if isinstance(record, str) else json.dumps(record)
        return parse_record_body(body.encode(), key).state == "retired"
    except (ValueError, KeyError, TypeError, PolicyError):
        return False
