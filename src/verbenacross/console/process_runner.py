"""Runs the long-lived processes."""

from __future__ import annotations

import asyncio
import errno
import gc
import os
from enum import IntEnum
from typing import TYPE_CHECKING, Any, TypeVar

import logbook

from ..observability.logs import configure_logging
from ..settings import Address, SettingsError, load_settings

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

BIND_ERRORS = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES})

logger = logbook.Logger("verbenacross.console.process_runner")

Loaded = TypeVar("Loaded")


class ProcessExitCode(IntEnum):
    """Exit codes of the long-lived processes; docs/operators/settings.md lists them."""

    STOPPED = 0
    FAILED = 1
    SETTINGS = 2
    ADDRESS = 3
    INTERRUPTED = 130


def run_process(
    path: str, kind: type[Loaded], run: Callable[[Loaded], Awaitable[None]]
) -> int:
    """Runs a process on the settings in a file and returns its exit code."""
    configure_logging("INFO")
    try:
        settings = load_settings(path, kind)
    except SettingsError as error:
        for finding in error.findings:
            where = {"source": finding.source, "path": finding.path}
            logger.error("{}", finding, extra=where)
        return ProcessExitCode.SETTINGS
    configure_logging(getattr(settings, "log_level", "INFO"))
    gc.freeze()
    try:
        # uvloop 0.23 opens an io_uring even with UV_USE_IO_URING=0, and the machines
        # allow none, so the processes run on asyncio's own event loop.
        asyncio.run(wait_for(run(settings)))
    except KeyboardInterrupt:
        return ProcessExitCode.INTERRUPTED
    except Exception as error:
        return report_failure(error, settings)
    return ProcessExitCode.STOPPED


async def wait_for(work: Awaitable[None]) -> None:
    """Awaits the work of a process."""
    await work


def report_failure(error: Exception, settings: Any) -> ProcessExitCode:
    """Logs what ended a process and returns its exit code."""
    bind_error = find_bind_error(error)
    if bind_error is None:
        logger.critical("the process failed", exc_info=error)
        return ProcessExitCode.FAILED
    name, address = find_listen_setting(bind_error, settings)
    logger.critical(
        "cannot listen on {} ({}): {}",
        address,
        name,
        os.strerror(bind_error.errno or 0),
        extra={"setting": name, "address": address},
    )
    return ProcessExitCode.ADDRESS


def find_bind_error(error: BaseException) -> OSError | None:
    """Returns the error of a listen address that cannot be taken, if there is one."""
    if isinstance(error, OSError) and error.errno in BIND_ERRORS:
        return error
    if isinstance(error, BaseExceptionGroup):
        found = (find_bind_error(part) for part in error.exceptions)
        return next((part for part in found if part is not None), None)
    return None


def find_listen_setting(error: OSError, settings: Any) -> tuple[str, str]:
    """Returns the name and the value of the setting that an error is about."""
    for name, value in settings._asdict().items():
        if isinstance(value, Address) and repr(tuple(value)) in str(error):
            return name, str(value)
    return "unknown setting", str(error)
