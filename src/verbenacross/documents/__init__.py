"""Strict parsing of JSON documents, with findings that name file and path."""
