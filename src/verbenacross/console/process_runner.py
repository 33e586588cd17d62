"""Runs the long-lived processes."""

from __future__ import annotations

import asyncio
import gc
import os
import sys
from typing import TYPE_CHECKING, TypeVar

from ..observability import configure_logs
from ..settings import SettingsError, load_settings

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

EXIT_SETTINGS = 2

Loaded = TypeVar("Loaded")


def run_process(
    path: str, kind: type[Loaded], run: Callable[[Loaded], Awaitable[None]]
) -> int:
    """Runs a process on the settings in a file and returns its exit code."""
    try:
        settings = load_settings(path, kind)
    except SettingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS
    configure_logs(getattr(settings, "log_level", "INFO"))
    # libuv must not open an io_uring, the machines allow none.
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    gc.freeze()
    uvloop.run(wait_for(run(settings)))
    return 0


async def wait_for(work: Awaitable[None]) -> None:
    """Awaits the work of a process."""
    try:
        await work
    except asyncio.CancelledError:
        return
