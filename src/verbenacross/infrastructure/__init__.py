"""Interfaces to the surroundings: key-value store, instance list, upstream signals."""
