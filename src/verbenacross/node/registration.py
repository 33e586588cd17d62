"""Registers this instance in the store if it is to serve records to others."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import logbook

from ..feed.members import MEMBERS_PER_DOMAIN, is_ahead, spread
from ..infrastructure.exceptions import (
    LeaseLostError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..feed.members import Member
    from ..feed.record_log import RecordLog
    from ..feed.synchronizer import Synchronizer
    from ..infrastructure.key_value_store import CheckedStore

# An instance that ended without revoking its lease stays a member for this time. Others
# replace it sooner as a source, and a restart within this time does not change the
# membership.
LEASE_TTL_MS = 12_000
RENEW_INTERVAL_S = 4.0
RETRY_DELAY_S = 1.0
UPDATE_INTERVAL_S = 0.1
# Instances of a failure domain without enough members register one after the other
# within this time, in seconds, so that the later ones see that no more are needed.
REGISTRATION_SPREAD_S = 5.0
# An instance that reads the store because it has no source registers after this time
# and a share of REGISTRATION_SPREAD_S, in seconds. After a restart all read the store
# until they have connected to the members.
SOURCE_DELAY_S = 1.0
# After the store has been restored from a copy, registered instances write their
# records again within this time, in seconds.
RESTORATION_SPREAD_S = 0.5
# An instance that learns of the restoration before its records come waits for them this
# long, in seconds: they hold the revision of the record that it replaces.
RESTORED_RECORDS_TIMEOUT_S = 1.0
# The reported number of instances follows an increase or a decrease that lasts for this
# time, in seconds. After the loss of a source, its subscribers are counted twice until
# its record expires.
INCREASE_DELAY_S = 1.0
DECREASE_DELAY_S = 5.0
# After an outage of the store, the subscribers of an instance have moved back to the
# readers within this time, in seconds.
SETTLING_TIME_S = 3.0
# Smaller changes of the number of instances are not reported, as a share of it.
MIN_REPORTED_CHANGE = 0.1

logger = logbook.Logger("verbenacross.node.registration")


class Registration:
    """Keeps this instance's record in the store, bound to a lease, while it is needed.

    Only a few instances of each failure domain register: those that rank first and
    those that read the store because they found no source.
    """

    def __init__(
        self,
        store: CheckedStore,
        log: RecordLog,
        synchronizer: Synchronizer,
        get_members: Callable[[], list[Member]],
        prefix: str,
        member: Member,
    ) -> None:
        self._store = store
        self._log = log
        self._synchronizer = synchronizer
        self._get_members = get_members
        self._key = prefix + member.instance
        self._member = member
        self._lease: str | None = None
        # The store's era in which the lease was granted.
        self._lease_era = 0
        # Whether the lease was lost because the store was restored from a copy.
        self._is_restoring = False
        # Until when to wait for the restored records.
        self._records_due_at = 0.0
        self._revision = 0
        self._renew_at = 0.0
        # Since when too few members rank before this instance.
        self._eligible_since: float | None = None
        # Since when this instance reads the store because it has no source.
        self._source_since: float | None = None
        # Since when the number of instances differs from the reported one.
        self._deviates_since: float | None = None
        # Whether the records have ever been fresh, and until when the number of
        # instances is not reported after they were not.
        self._has_been_fresh = False
        self._settled_at = 0.0

    async def run(self) -> None:
        """Registers the instance when needed and renews the lease until cancelled."""
        await self._log.loaded.wait()
        loop = asyncio.get_running_loop()
        while True:
            try:
                await self._update(loop.time())
            except LeaseLostError as error:
                self._lease = None
                logger.warning("registration lease lost", extra={"reason": str(error)})
            except StoreError as error:
                logger.warning("registration failed", extra={"reason": str(error)})
                await asyncio.sleep(RETRY_DELAY_S * random.uniform(0.5, 1.5))
            await asyncio.sleep(UPDATE_INTERVAL_S)

    async def close(self) -> None:
        """Removes the record by revoking its lease.

        A lease of an earlier era is left alone, as another instance may have been
        granted a lease with the same id since.
        """
        if self._lease is None:
            return
        try:
            await self._store.check()
            if self._get_era() > self._lease_era:
                logger.info("registration lease is of an earlier era")
                return
            await self._store.revoke_lease(self._lease)
        except StoreError as error:
            # The lease expires anyway.
            logger.info("registration not removed", extra={"reason": repr(error)})

    async def _update(self, now: float) -> None:
        if self._lease is not None and self._get_era() > self._lease_era:
            await self._forget_lease()
            now = asyncio.get_running_loop().time()
        if self._lease is None:
            if self._should_register(now):
                await self._register(now)
            return
        if now >= self._renew_at:
            self._schedule_renewal(now)
            await self._renew()
            if self._get_era() > self._lease_era:
                return
            now = asyncio.get_running_loop().time()
        count = self._synchronizer.count_instances()
        if self._has_changed(count, now):
            await self._report(count, self._revision, self._lease)

    def _get_era(self) -> int:
        """Returns the store's era, as seen by this instance or by its source."""
        return max(self._store.era, self._log.position.era)

    async def _forget_lease(self) -> None:
        """Forgets lease and revision of an earlier era, which may now be another's."""
        logger.info(
            "registration is of an earlier era",
            extra={"lease": self._lease, "era": self._get_era()},
        )
        self._lease = None
        self._is_restoring = True
        self._records_due_at = (
            asyncio.get_running_loop().time() + RESTORED_RECORDS_TIMEOUT_S
        )
        await asyncio.sleep(RESTORATION_SPREAD_S * spread(self._member.instance))

    def _should_register(self, now: float) -> bool:
        if not self._is_restoring:
            return self._is_needed(now)
        has_records = self._log.position.era >= self._store.era
        return has_records or now >= self._records_due_at

    def _is_needed(self, now: float) -> bool:
        members = self._get_members()
        if any(member.instance == self._member.instance for member in members):
            # The record of the previous process, which others may be using already.
            return True
        delay_s = REGISTRATION_SPREAD_S * spread(self._member.instance)
        ahead = sum(is_ahead(member, self._member) for member in members)
        self._eligible_since = (
            self._eligible_since or now if ahead < MEMBERS_PER_DOMAIN else None
        )
        self._source_since = (
            self._source_since or now if self._synchronizer.is_source() else None
        )
        return (
            self._eligible_since is not None and now - self._eligible_since >= delay_s
        ) or (
            self._source_since is not None
            and now - self._source_since >= SOURCE_DELAY_S + delay_s
        )

    def _has_changed(self, count: int, now: float) -> bool:
        """Returns whether the number of instances has to be reported again.

        While the store is away, instances subscribe to several members in turn and are
        counted by each of them.
        """
        is_fresh = self._synchronizer.is_fresh()
        self._has_been_fresh = self._has_been_fresh or is_fresh
        if not is_fresh and self._has_been_fresh:
            self._settled_at = now + SETTLING_TIME_S
        if now < self._settled_at:
            self._deviates_since = None
            return False
        reported = self._member.instances
        if abs(count - reported) < max(1.0, MIN_REPORTED_CHANGE * reported):
            self._deviates_since = None
            return False
        if self._deviates_since is None:
            self._deviates_since = now
        delay_s = INCREASE_DELAY_S if count > reported else DECREASE_DELAY_S
        return now - self._deviates_since >= delay_s

    async def _register(self, now: float) -> None:
        lease = await self._store.grant_lease(LEASE_TTL_MS)
        lease_era = self._store.era
        if lease_era < self._log.position.era:
            raise StoreUnavailableError(f"lease {lease} is of an earlier era")
        # The subscribers come back after a restart, or after an outage of the store in
        # which the lease expired; the current number is not settled yet.
        known = [
            member.instances
            for member in self._get_members()
            if member.instance == self._member.instance
        ]
        if self._revision > 0:
            known.append(self._member.instances)
        count = max(known) if known else self._synchronizer.count_instances()
        is_current = self._log.position.era == lease_era
        expected = self._log.get_revision(self._key) if is_current else 0
        await self._report(count, expected, lease)
        self._lease = lease
        self._lease_era = lease_era
        self._is_restoring = False
        self._schedule_renewal(now)
        logger.info(
            "registered",
            extra={
                "era": lease_era,
                "revision": self._revision,
                "lease": lease,
                "instances": count,
            },
        )

    async def _report(self, count: int, expected: int, lease: str) -> None:
        """Writes the record with the number of instances."""
        member = self._member._replace(instances=count)
        data = member.to_data()
        try:
            self._revision = await self._store.put(self._key, data, expected, lease)
        except StoreConflictError as error:
            # The response to an earlier write was lost, or the record is that of the
            # previous process of this instance.
            self._revision = await self._store.put(
                self._key, data, error.current, lease
            )
        self._member = member
        self._deviates_since = None

    def _schedule_renewal(self, now: float) -> None:
        self._renew_at = now + RENEW_INTERVAL_S * random.uniform(0.9, 1.1)

    async def _renew(self) -> None:
        """Renews the lease; raises ``LeaseLostError`` once it is lost.

        Other errors are logged: the next renewal is the retry.
        """
        assert self._lease is not None
        try:
            await self._store.renew_lease(self._lease)
        except LeaseLostError:
            raise
        except StoreError as error:
            logger.info("lease not renewed", extra={"reason": str(error)})
