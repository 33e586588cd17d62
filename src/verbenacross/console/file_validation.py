"""Validation of the node's files for the command ``validate``."""

from __future__ import annotations

from ..documents.document import InvalidDocumentError
from ..documents.exceptions import SettingsError
from ..documents.file import read_file
from ..node.settings import NodeSettings
from ..platform.configuration import decode_configuration
from .exceptions import CommandError
from .store_session import build_invalid_result


def validate_node_settings(path: str) -> str:
    """Validates a settings file of the node and returns a description of it.

    Raises ``CommandError`` with all findings if the file is invalid.
    """
    try:
        return f"instance {NodeSettings.from_file(path).instance}"
    except SettingsError as error:
        raise CommandError(build_invalid_result(error.findings)) from error


def validate_configuration(path: str) -> str:
    """Validates a platform configuration and returns a description of it.

    Raises ``CommandError`` with all findings if the file is invalid.
    """
    try:
        table = decode_configuration(read_file(path), revision=0, source=path)
    except (SettingsError, InvalidDocumentError) as error:
        findings = tuple(error.findings)
        raise CommandError(build_invalid_result(findings)) from error
    return f"version {table.version}, {len(table.routes)} routes"
