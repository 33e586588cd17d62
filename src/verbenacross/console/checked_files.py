"""Checks the files of the node program for the command ``validate``."""

from __future__ import annotations

from ..documents.document import InvalidDocumentError
from ..documents.exceptions import SettingsError
from ..documents.file import read_file
from ..node.settings import NodeSettings
from ..platform.configuration import decode_configuration
from .exceptions import CommandError
from .store_session import report_findings


def check_node_settings(path: str) -> str:
    """Returns what settings are for; raises ``CommandError`` with every finding."""
    try:
        return f"instance {NodeSettings.from_file(path).instance}"
    except SettingsError as error:
        raise CommandError(report_findings(error.findings)) from error


def check_configuration(path: str) -> str:
    """Returns a configuration's version; raises ``CommandError`` with every finding."""
    try:
        table = decode_configuration(read_file(path), revision=0, source=path)
    except (SettingsError, InvalidDocumentError) as error:
        findings = tuple(error.findings)
        raise CommandError(report_findings(findings)) from error
    return f"version {table.version}, {len(table.routes)} routes"
