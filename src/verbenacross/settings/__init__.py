"""Typed settings in JSON, with all findings reported together."""

from ..documents.address import Address
from ..documents.exceptions import SettingsError
from ..documents.finding import Finding
from .agent_settings import AgentSettings
from .client_settings import ClientSettings
from .entry_settings import EntrySettings
from .loader import load_settings

__all__ = [
    "Address",
    "AgentSettings",
    "ClientSettings",
    "EntrySettings",
    "Finding",
    "SettingsError",
    "load_settings",
]
