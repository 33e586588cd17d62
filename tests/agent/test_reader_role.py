"""The first read of an agent that has just started."""

from types import SimpleNamespace

from reactivex.subject import Subject

from tests.agent.test_store_reader import KEYS, FaultyStore, build_body
from verbenacross.agent.reader_role import ReaderRole
from verbenacross.policy import PolicyRecord, PolicyTable, TableProgress


class Peers:
    """The links of an agent; their records have arrived once it is synchronized."""

    def __init__(self):
        self.pauses = Subject()
        self.is_synchronized = False
        self.records = SimpleNamespace(
            is_synchronized_with_peer=lambda: self.is_synchronized
        )

    def get_live_members(self):
        return [SimpleNamespace(instance="other", failure_domain="a")]

    def has_candidates(self):
        return True


async def test_deleted_record_of_a_peer_does_not_return_while_an_agent_starts():
    """Guards against a withdrawn policy that is in force again after a restart.

    The agent has read the store, but waits for the records of its peers. One of them
    missed the deletion.
    """
    store, peers = FaultyStore(), Peers()
    revision = store.write(KEYS[0], build_body(KEYS[0], "active"))
    store.write(KEYS[1], build_body(KEYS[1], "active"))
    store.write(KEYS[0], None)
    progress = TableProgress(PolicyTable())
    settings = SimpleNamespace(instance="started", readers_per_failure_domain=2)
    role = ReaderRole(settings, store, peers, progress)
    await role.reader._read_all()
    assert not progress.synchronized

    kept = PolicyRecord(KEYS[0], revision, build_body(KEYS[0], "active"))
    newer = PolicyRecord(
        "policies/cuepublish/3",
        store.revision + 1,
        build_body("policies/cuepublish/3", "active"),
    )
    progress.merge([kept, newer])
    peers.is_synchronized = True
    role._confirm_watermark()

    assert progress.synchronized
    assert progress.table.policies[KEYS[0]].state == "retired"
    assert progress.table.policies[KEYS[1]].state == "active"
    assert progress.table.policies[newer.key].state == "active"
