"""Agents whose store was restored from a copy and has given out revisions again."""

from verbenacross.agent.store_reader import StoreReader
from verbenacross.infrastructure.key_value_store import StoredValue, StoreSnapshot
from verbenacross.policy import PolicyTable, TableProgress
from verbenacross.policy.policy_record import PolicyRecord

KEY = "policies/cuepublish/1"


class RestoredStore:
    """A store whose content a test replaces."""

    def __init__(self) -> None:
        self.snapshot = StoreSnapshot(0, ())

    async def read_prefix(self, prefix):
        return self.snapshot


async def test_record_written_after_the_return_of_a_busy_store_is_taken():
    """Guards against a lost record that stays in force.

    The store has passed the revision known before when it is read again, so its
    revision alone does not show that writes were lost.
    """
    store, table = RestoredStore(), PolicyTable()
    progress = TableProgress(table)
    reader = StoreReader(store, progress, progress.advance_to, lambda: False)
    store.snapshot = StoreSnapshot(300, (StoredValue(KEY, b"lost", 300),))
    await reader._read_all()
    store.snapshot = StoreSnapshot(310, (StoredValue(KEY, b"written", 295),))

    await reader._read_all()

    assert table.latest[KEY].body == b"written"


def test_new_record_of_a_peer_is_not_taken_for_a_deleted_one():
    """Guards against a policy that is retired although it was written after a return.

    Its revision is one that this agent had passed before the return.
    """
    progress = TableProgress(PolicyTable())
    progress.advance_to(300)

    progress.merge([PolicyRecord(KEY, 295, b"written")])

    assert progress.table.latest[KEY].body == b"written"
