"""A store that is restored from copies, and agents that read it, without a network."""

from __future__ import annotations

import asyncio
import json

from tests.agent.test_store_reader import FaultyStore
from tests.fake_clock import FakeClock
from verbenacross.agent.store_reader import StoreReader
from verbenacross.infrastructure.exceptions import StoreError
from verbenacross.infrastructure.key_value_store import StoreSnapshot
from verbenacross.policy import PolicyTable, TableProgress
from verbenacross.policy.table_progress import CARRY_OVER_S
from verbenacross.protocol import decode_message, encode_message
from verbenacross.protocol.messages import RecordCopies


class EraStore(FaultyStore):
    """Names its era in each response."""

    def __init__(self) -> None:
        super().__init__()
        self.era = 1

    def restore(self, revision: int) -> None:
        """Loses all writes after a revision and begins an era."""
        kept = [state for state in self.history if state[0] <= revision]
        self.restore_backup(len(self.history) - len(kept))
        self.history = self.history[-1:]
        self.era += 1

    async def read_prefix(self, prefix):
        return (await super().read_prefix(prefix))._replace(era=self.era)

    async def watch(self, prefix, revision, wait_ms) -> StoreSnapshot:
        snapshot = await super().watch(prefix, revision, wait_ms)
        return snapshot._replace(era=self.era)


class ModelAgent:
    """An agent's table and store reader; a restart forgets both."""

    def __init__(
        self, store: EraStore, clock: FakeClock, *, is_primary: bool = False
    ) -> None:
        self.progress = TableProgress(PolicyTable(), clock)
        self.table = self.progress.table
        self.reader = StoreReader(
            store, self.progress, self.progress.advance_to, lambda: is_primary
        )
        self.has_read = False

    def read(self) -> bool:
        """Reads all records once, as after a lost connection."""
        self.has_read = self._call(self.reader._read_all)
        return self.has_read

    def follow(self) -> bool:
        """Reads changes; reads all records if there is no history to go on from."""
        if self.has_read and self._call(self._watch):
            return True
        return self.read()

    def receive(self, sender: ModelAgent) -> None:
        """Merges all copies of a peer, then its watermark, as on a link."""
        message = RecordCopies(tuple(sender.table.get_copies()))
        self.progress.merge(decode_message(encode_message(message)).records)
        if sender.progress.synchronized:
            self.progress.advance_to(sender.progress.watermark)

    def find_state(self, key: str) -> int | str | None:
        """Returns the number of the policy in force, or that it is retired."""
        policy = self.table.policies.get(key)
        if policy is None:
            return None
        return policy.limits.queue_size if policy.state == "active" else "retired"

    async def _watch(self) -> None:
        await self.reader._watch_once()
        await self.reader._settle_if_due()

    def _call(self, action) -> bool:
        async def run():
            try:
                await action()
            except StoreError:
                return False
            return True

        return asyncio.run(run())


def build_policy(key: str, number: int, state: str = "active") -> bytes:
    """Returns the body of a policy that can be told by its number."""
    service, version = key.split("/")[1:]
    policy = {"schema_version": 1, "service": service, "version": int(version)}
    limits = {"queue_size": number}
    return json.dumps({**policy, "state": state, "limits": limits}).encode()


def end_carry_over(clock: FakeClock) -> None:
    """Lets the time pass for which lost records stay in force."""
    clock.now += CARRY_OVER_S + 1
