"""Measurement tool; not part of the package."""
