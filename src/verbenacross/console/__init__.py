"""Command-line interfaces of the executables."""
