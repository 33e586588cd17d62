"""Reloads the settings file when it changes."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING

import logbook

from ..documents.exceptions import SettingsError
from .settings import NodeSettings

if TYPE_CHECKING:
    from collections.abc import Callable

# The file may change without a signal to reload it.
POLL_INTERVAL_S = 2.0

logger = logbook.Logger("verbenacross.node.settings")


class SettingsWatcher:
    """Reloads the settings on request and when their file changes.

    Calls ``on_change`` with the settings after each successful reload.
    """

    def __init__(
        self,
        path: str,
        settings: NodeSettings,
        on_change: Callable[[NodeSettings], None],
    ) -> None:
        self._path = path
        self._settings = settings
        self._on_change = on_change
        self._mtime_ns = self._get_mtime_ns()

    async def run(self) -> None:
        """Checks the file for changes until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            mtime_ns = self._get_mtime_ns()
            if mtime_ns != self._mtime_ns:
                self._mtime_ns = mtime_ns
                self.reload()

    def reload(self) -> None:
        """Reloads the file; the previous settings stay in force if it is invalid."""
        try:
            settings = NodeSettings.from_file(self._path)
        except SettingsError as error:
            findings = [str(finding) for finding in error.findings]
            logger.error(
                "invalid settings, the previous ones stay in force",
                extra={"findings": findings},
            )
            return
        old, new = self._settings._asdict(), settings._asdict()
        changed = sorted(name for name in new if new[name] != old[name])
        self._settings = settings
        logger.info("settings reloaded", extra={"changed": changed})
        self._on_change(settings)

    def _get_mtime_ns(self) -> int:
        try:
            return os.stat(self._path).st_mtime_ns
        except OSError:
            # The file is being replaced; the next check finds it.
            return 0
