"""Policies as the store holds them."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple

from ..policy import Policy, PolicyError
from ..policy.parser import parse_record_body
from ..policy.policy_record import POLICY_PREFIX

if TYPE_CHECKING:
    from ..infrastructure.key_value_store import KeyValueStore
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


async def find_retirement(store: KeyValueStore, current: CurrentRecord) -> int | None:
    """Returns the revision at which a version was retired, ``None`` if it was not.

    Agents keep under ``valid/`` what the key itself no longer shows: that a version was
    retired before an invalid or active copy, or that its key was deleted, which counts
    as retired.
    """
    if current.body is not None:
        stored = StoredPolicy.from_body(current.key, current.revision, current.body)
        if stored.get_state() == "retired":
            return current.revision
    key = VALID_PREFIX + current.key.removeprefix(POLICY_PREFIX)
    saved = await store.get(key)
    if saved is None:
        return None
    copy = read_saved_copy(saved.value or b"")
    if copy is None:
        return None
    if not copy.body:
        return copy.revision if current.body is None else None
    state = StoredPolicy.from_body(current.key, copy.revision, copy.body).get_state()
    return copy.revision if state == "retired" else None


class SavedCopy(NamedTuple):
    """A copy under ``valid/``; an empty body stands for a deleted key."""

    revision: int
    body: bytes


def read_saved_copy(value: bytes) -> SavedCopy | None:
    """Returns the copy in a value under ``valid/``, ``None`` if it is malformed."""
    try:
        document = json.loads(value)
        return SavedCopy(int(document["revision"]), str(document["record"]).encode())
    except (ValueError, KeyError, TypeError):
        return None
