"""Decodes records of the platform's store into changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..documents.document import InvalidDocumentError
from ..node.changes import (
    ConfigurationChange,
    EvacuationChange,
    InvalidConfiguration,
    MemberChange,
    UpstreamChange,
)
from .configuration import decode_configuration
from .server_entries import decode_server

if TYPE_CHECKING:
    from ..infrastructure.key_value_store import StoredValue
    from ..node.changes import Change

CONFIGURATION_KEY = "op/config"
SERVER_PREFIX = "servers/"
# The rest of the key names the evacuated failure domain. The value has no meaning.
EVACUATION_PREFIX = "op/evacuate/"
# Keys of this project; the platform accepts any prefix that it does not reserve.
NODE_PREFIX = "verbenacross/nodes/"
WATCHED_PREFIX = ""


def decode_change(record: StoredValue) -> Change | None:
    """Decodes the change in a record, ``None`` if this project does not use its key."""
    key, data, revision = record
    if key == CONFIGURATION_KEY:
        return decode_configuration_change(data, revision)
    if key.startswith(SERVER_PREFIX):
        return decode_upstream_change(key[len(SERVER_PREFIX) :], data, revision)
    if key.startswith(EVACUATION_PREFIX):
        failure_domain = key[len(EVACUATION_PREFIX) :]
        return EvacuationChange(failure_domain, revision, data is not None)
    if key.startswith(NODE_PREFIX):
        return MemberChange(key[len(NODE_PREFIX) :], revision, data)
    return None


def decode_configuration_change(data: bytes | None, revision: int) -> Change:
    """Decodes a change of the configuration."""
    if data is None:
        return InvalidConfiguration(revision, "the configuration is deleted")
    try:
        return ConfigurationChange(decode_configuration(data, revision), data)
    except InvalidDocumentError as error:
        return InvalidConfiguration(revision, str(error))


def decode_upstream_change(
    identifier: str, data: bytes | None, revision: int
) -> UpstreamChange:
    """Decodes a change of an upstream; a malformed entry yields an error instead."""
    if data is None:
        return UpstreamChange(identifier, revision, None)
    try:
        upstream = decode_server(identifier, data)
    except InvalidDocumentError as error:
        return UpstreamChange(identifier, revision, None, error=str(error))
    return UpstreamChange(identifier, revision, upstream)
