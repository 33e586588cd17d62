"""Policy records as stored."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple

from ..infrastructure.key_value_store import StorePosition
from ..policy import Policy, PolicyError
from ..policy.parser import parse_record_body
from ..policy.policy_record import POLICY_PREFIX

if TYPE_CHECKING:
    from ..infrastructure.key_value_store import KeyValueStore
    from ..settings import Finding
    from .record_writer import CurrentRecord

VALID_COPY_PREFIX = "valid/"


class StoredPolicy(NamedTuple):
    """A policy record of the store; ``policy`` is ``None`` if the record is invalid."""

    key: str
    revision: int
    text: str
    policy: Policy | None
    findings: tuple[Finding, ...]

    @classmethod
    def from_body(cls, key: str, revision: int, body: bytes) -> StoredPolicy:
        """Parses a record; the result has either a policy or findings."""
        text = body.decode(errors="replace")
        try:
            return cls(key, revision, text, parse_record_body(body, key), ())
        except PolicyError as error:
            return cls(key, revision, text, None, error.findings)

    def get_state(self) -> str:
        """Returns ``active``, ``retired`` or ``invalid``."""
        return "invalid" if self.policy is None else self.policy.state

    def parse_key(self) -> tuple[str, str]:
        """Returns the service and the version in the key."""
        service, _, version = self.key.removeprefix(POLICY_PREFIX).partition("/")
        return service, version

    def get_sort_key(self) -> tuple[str, int, str]:
        """Returns a key that sorts by service, then numerically by version."""
        service, version = self.parse_key()
        return service, len(version), version

    def build_summary(self) -> dict[str, Any]:
        """Builds the JSON representation of the record, without its body."""
        service, version = self.parse_key()
        return {
            "key": self.key,
            "service": service,
            "version": self.policy.version if self.policy else version,
            "revision": self.revision,
            "state": self.get_state(),
            "findings": [finding._asdict() for finding in self.findings],
        }


async def find_retired_revision(
    store: KeyValueStore, current: CurrentRecord
) -> int | None:
    """Returns the revision at which a version was retired, ``None`` if it was not.

    The key itself may no longer show this. Agents therefore store a copy under
    ``valid/``. It remains retired if the key is overwritten with an invalid or active
    record, and is empty if the key was deleted, which counts as retired.
    """
    if current.body is not None:
        stored = StoredPolicy.from_body(current.key, current.revision, current.body)
        if stored.get_state() == "retired":
            return current.revision
    key = VALID_COPY_PREFIX + current.key.removeprefix(POLICY_PREFIX)
    stored_copy = await store.get(key)
    if stored_copy is None:
        return None
    copy = parse_valid_copy(stored_copy.value or b"")
    if copy is None:
        return None
    if not copy.body:
        return copy.revision if current.body is None else None
    state = StoredPolicy.from_body(current.key, copy.revision, copy.body).get_state()
    return copy.revision if state == "retired" else None


class ValidCopy(NamedTuple):
    """A copy under ``valid/``; an empty body means that the key was deleted."""

    revision: int
    body: bytes


def parse_valid_copy(value: bytes) -> ValidCopy | None:
    """Parses a value under ``valid/``; returns ``None`` if it is malformed."""
    try:
        document = json.loads(value)
        position = StorePosition.unpack(int(document["revision"]))
        return ValidCopy(position.revision, str(document["record"]).encode())
    except (ValueError, KeyError, TypeError):
        return None
