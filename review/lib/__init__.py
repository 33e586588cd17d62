"""Shared code of the review's scripts: processes, stand-ins and the record."""
