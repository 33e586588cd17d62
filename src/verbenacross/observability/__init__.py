"""Logs, metrics and the admin server of each process."""
