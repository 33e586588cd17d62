"""The stand-in for the platform's store keeps the guarantees of a pending watch."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from standins.platform_store import PlatformStoreStandIn
from verbenacross.infrastructure.exceptions import HistoryLostError, LeaseLostError
from verbenacross.platform.store import PlatformStore

TIMEOUT_S = 2.0
WAIT_MS = 500
LEASE_TTL_MS = 10_000


async def test_history_lost_right_after_a_change_ends_a_waiting_watch():
    """Guards against a watch that wakes too late for an event and reports no loss."""
    async with PlatformStoreStandIn() as stand_in, aiohttp.ClientSession() as session:
        endpoint = await stand_in.open_endpoint()
        store = PlatformStore(session, endpoint.address, TIMEOUT_S)
        watch = asyncio.create_task(store.watch("", stand_in.revision, WAIT_MS))
        while not endpoint.calls:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)

        # The watch does not run between the change and the loss of its event.
        await stand_in.put("servers/u1", {})
        await stand_in.compact_history()

        with pytest.raises(HistoryLostError):
            await watch


async def test_no_lease_id_is_given_twice():
    """Guards against two instances whose records share a lease without knowing it."""
    async with PlatformStoreStandIn() as stand_in, aiohttp.ClientSession() as session:
        endpoint = await stand_in.open_endpoint()
        store = PlatformStore(session, endpoint.address, TIMEOUT_S)
        first = await store.grant_lease(LEASE_TTL_MS)
        second = await store.grant_lease(LEASE_TTL_MS)
        await store.revoke_lease(first)

        assert await store.grant_lease(LEASE_TTL_MS) not in (first, second)


async def test_restored_copy_loses_later_writes_and_gives_out_their_revisions_again():
    """Guards the drills: a return of the store must lose what the platform's loses."""
    async with PlatformStoreStandIn() as stand_in, aiohttp.ClientSession() as session:
        endpoint = await stand_in.open_endpoint()
        store = PlatformStore(session, endpoint.address, TIMEOUT_S)
        kept = await stand_in.put("kept", {})
        saved = stand_in.make_copy()
        lost = await stand_in.put("lost", {})
        lease = await store.grant_lease(LEASE_TTL_MS)
        waiting = asyncio.create_task(store.watch("", lost, WAIT_MS))
        await asyncio.sleep(0.05)

        await stand_in.restore(saved)

        with pytest.raises(HistoryLostError):
            await waiting
        with pytest.raises(HistoryLostError):
            await store.watch("", lost, WAIT_MS)
        with pytest.raises(LeaseLostError):
            await store.renew_lease(lease)
        snapshot = await store.read_prefix("")
        assert [value.key for value in snapshot.values] == ["kept"]
        assert snapshot.revision == kept
        assert snapshot.era == 2
        assert await stand_in.put("other", {}) == lost
        assert await store.grant_lease(LEASE_TTL_MS) == lease
