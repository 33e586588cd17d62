"""Adapter for the users' platform: its names, formats and calls, without any policy.

Decodes everything into the project's own types; no code outside this package uses a
name of the platform.
"""
