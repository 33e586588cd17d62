"""Start-up and failure reporting of the agent and entry processes."""

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

SettingsT = TypeVar("SettingsT")


class ProcessExitCode(IntEnum):
    """Exit codes of long-running processes; see docs/operators/settings.md."""

    STOPPED = 0
    FAILED = 1
    SETTINGS = 2
    ADDRESS = 3
    INTERRUPTED = 130


def run_process(
    path: str,
    settings_type: type[SettingsT],
    run: Callable[[SettingsT], Awaitable[None]],
) -> int:
    """Loads the settings, runs a process until it stops and returns its exit code."""
    configure_logging("INFO")
    try:
        settings = load_settings(path, settings_type)
    except SettingsError as error:
        for finding in error.findings:
            location = {"source": finding.source, "path": finding.path}
            logger.error("{}", finding, extra=location)
        return ProcessExitCode.SETTINGS
    configure_logging(getattr(settings, "log_level", "INFO"))
    gc.freeze()
    try:
        # The processes use asyncio's own event loop, since uvloop 0.23 opens an
        # io_uring even with UV_USE_IO_URING=0, which the instances do not permit.
        asyncio.run(await_process(run(settings)))
    except KeyboardInterrupt:
        return ProcessExitCode.INTERRUPTED
    except Exception as error:
        return log_failure(error, settings)
    return ProcessExitCode.STOPPED


async def await_process(process: Awaitable[None]) -> None:
    """Wraps an awaitable in a coroutine, as ``asyncio.run`` requires."""
    await process


def log_failure(error: Exception, settings: Any) -> ProcessExitCode:
    """Logs the error that ended a process and returns the exit code."""
    bind_error = find_bind_error(error)
    if bind_error is None:
        logger.critical("process failed", exc_info=error)
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
    """Returns the error of a listen address that cannot be bound, if there is one.

    Searches exception groups recursively.
    """
    if isinstance(error, OSError) and error.errno in BIND_ERRORS:
        return error
    if isinstance(error, BaseExceptionGroup):
        found = (find_bind_error(part) for part in error.exceptions)
        return next((part for part in found if part is not None), None)
    return None


def find_listen_setting(error: OSError, settings: Any) -> tuple[str, str]:
    """Returns the name and value of the listen setting that caused a bind error."""
    for name, value in settings._asdict().items():
        if isinstance(value, Address) and repr(tuple(value)) in str(error):
            return name, str(value)
    return "unknown setting", str(error)
