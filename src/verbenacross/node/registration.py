"""Keeps this instance's own record in the store while it runs."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import logbook

from ..infrastructure.exceptions import (
    LeaseLostError,
    StoreConflictError,
    StoreError,
)

if TYPE_CHECKING:
    from ..feed.members import Member
    from ..feed.record_log import RecordLog
    from ..infrastructure.key_value_store import KeyValueStore

# An instance that is gone counts for so long, which only makes shares smaller; a
# restart within this time leaves the membership as it was.
LEASE_MS = 12_000
RENEW_S = 4.0
RETRY_S = 1.0
# The end of a lease is a courtesy; the process must not wait for it.
REVOKE_TIMEOUT_S = 0.2

logger = logbook.Logger("verbenacross.node.registration")


class Registration:
    """Keeps this instance's own record in the store while it runs."""

    def __init__(
        self, store: KeyValueStore, log: RecordLog, prefix: str, own: Member
    ) -> None:
        self._store = store
        self._log = log
        self._key = prefix + own.instance
        self._data = own.to_data()
        self._lease: str | None = None

    async def run(self) -> None:
        """Registers and renews until cancelled."""
        await self._log.loaded.wait()
        while True:
            try:
                await self._register()
                while True:
                    await asyncio.sleep(RENEW_S * random.uniform(0.9, 1.1))
                    await self._renew()
            except LeaseLostError as error:
                logger.warning("registration lapsed", extra={"reason": str(error)})
            except StoreError as error:
                logger.warning("registration failed", extra={"reason": str(error)})
                await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))

    async def close(self) -> None:
        """Removes the record."""
        if self._lease is None:
            return
        try:
            async with asyncio.timeout(REVOKE_TIMEOUT_S):
                await self._store.revoke_lease(self._lease)
        except (StoreError, TimeoutError) as error:
            # The lease ends by itself.
            logger.info("registration not removed", extra={"reason": repr(error)})

    async def _register(self) -> None:
        self._lease = await self._store.grant_lease(LEASE_MS)
        expected = self._log.get_revision(self._key)
        try:
            revision = await self._store.put(
                self._key, self._data, expected, self._lease
            )
        except StoreConflictError as error:
            # A write whose answer was lost, or the record of the process before.
            revision = await self._store.put(
                self._key, self._data, error.current, self._lease
            )
        logger.info("registered", extra={"revision": revision, "lease": self._lease})

    async def _renew(self) -> None:
        """Renews the lease; a failure is tried again until the lease is lost."""
        assert self._lease is not None
        try:
            await self._store.renew_lease(self._lease)
        except LeaseLostError:
            raise
        except StoreError as error:
            logger.info("lease not renewed", extra={"reason": str(error)})
