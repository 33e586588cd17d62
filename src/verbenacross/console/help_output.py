"""Where the command lines print help and completion source."""

from __future__ import annotations

import sys

import cappa
from rich.console import Console

UNWRAPPED_WIDTH = 10_000


def build_output() -> cappa.Output:
    """Returns where help goes; completion source must not be wrapped."""
    if "--completion" not in " ".join(sys.argv):
        return cappa.Output()
    return cappa.Output(output_console=Console(width=UNWRAPPED_WIDTH, no_color=True))
