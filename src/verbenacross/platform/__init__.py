"""Speaks the users' platform: its names, formats and calls, and no decisions.

Everything is decoded here into the project's own types; nothing outside this folder
knows a name of the platform.
"""
