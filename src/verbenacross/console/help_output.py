"""Output of help texts and shell completion scripts."""

from __future__ import annotations

import sys

import cappa
from rich.console import Console

UNWRAPPED_WIDTH = 10_000


def build_output() -> cappa.Output:
    """Returns the output for help texts.

    Completion scripts must not be wrapped at the terminal width: it breaks them.
    """
    if "--completion" not in " ".join(sys.argv):
        return cappa.Output()
    return cappa.Output(output_console=Console(width=UNWRAPPED_WIDTH, no_color=True))
