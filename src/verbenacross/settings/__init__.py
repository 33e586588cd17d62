"""Typed JSON settings whose findings are reported together."""

from .address import Address
from .agent_settings import AgentSettings
from .client_settings import ClientSettings
from .entry_settings import EntrySettings
from .exceptions import SettingsError
from .finding import Finding
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
