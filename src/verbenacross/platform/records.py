"""Tells what a key of the platform's store is about."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..documents.document import InvalidDocumentError
from ..node.changes import (
    ConfigurationChange,
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
# Own keys; the platform reserves its own prefixes and accepts any other.
NODE_PREFIX = "verbenacross/nodes/"
WATCHED_PREFIX = ""


def decode_change(record: StoredValue) -> Change | None:
    """Returns what a record changes, ``None`` if it concerns this system not at all."""
    key, data, revision = record
    if key == CONFIGURATION_KEY:
        return decode_configuration_change(data, revision)
    if key.startswith(SERVER_PREFIX):
        return decode_upstream_change(key[len(SERVER_PREFIX) :], data, revision)
    if key.startswith(NODE_PREFIX):
        return MemberChange(key[len(NODE_PREFIX) :], revision, data)
    return None


def decode_configuration_change(data: bytes | None, revision: int) -> Change:
    """Returns the change of the configuration."""
    if data is None:
        return InvalidConfiguration(revision, "the configuration is deleted")
    try:
        return ConfigurationChange(decode_configuration(data, revision), data)
    except InvalidDocumentError as error:
        return InvalidConfiguration(revision, str(error))


def decode_upstream_change(
    identifier: str, data: bytes | None, revision: int
) -> UpstreamChange:
    """Returns the change of an upstream; a malformed entry names none to use."""
    if data is None:
        return UpstreamChange(identifier, revision, None)
    try:
        upstream = decode_server(identifier, data)
    except InvalidDocumentError as error:
        return UpstreamChange(identifier, revision, None, error=str(error))
    return UpstreamChange(identifier, revision, upstream)
