"""Logging, metrics and the admin HTTP server of a process."""
