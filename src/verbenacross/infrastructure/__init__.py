"""Clients of external systems: key-value store, instance list, upstream signals."""
