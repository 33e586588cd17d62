"""Logs, metrics and the admin server of each process."""

from .admin_server import AdminServer
from .logs import configure_logs

__all__ = ["AdminServer", "configure_logs"]
