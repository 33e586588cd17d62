"""Command lines of the binaries."""
