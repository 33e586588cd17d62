"""Agents whose store was restored from a copy and has given out revisions again."""

from tests.agent.era_store import (
    EraStore,
    ModelAgent,
    build_policy,
    end_carry_over,
)
from tests.fake_clock import FakeClock
from verbenacross.agent.store_reader import StoreReader
from verbenacross.infrastructure.key_value_store import (
    StoredValue,
    StorePosition,
    StoreSnapshot,
)
from verbenacross.policy import PolicyTable, TableProgress
from verbenacross.policy.policy_record import PolicyRecord
from verbenacross.protocol import decode_message, encode_message
from verbenacross.protocol.messages import RecordCopies

KEY = "policies/cuepublish/1"
OTHER_KEY = "policies/cuepublish/2"


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

    Its revision is one that this agent had passed before the return. The peer has read
    it from the restored store.
    """
    store, clock = EraStore(), FakeClock()
    agent, peer = (ModelAgent(store, clock) for _ in range(2))
    for number in range(1, 4):
        store.write(OTHER_KEY, build_policy(OTHER_KEY, number))
    assert agent.read()
    store.restore(1)
    store.write(KEY, b"written")
    assert peer.read()
    assert store.revision < StorePosition.unpack(agent.progress.watermark).revision

    agent.progress.merge(list(peer.table.get_copies()))

    assert agent.table.latest[KEY].body == b"written"


def test_lost_policy_stays_in_force_until_it_is_written_again():
    """Guards against a revert to the older copy that a restored store holds."""
    store, agents = build_fleet(2)
    write(store, agents, 1)
    write(store, agents, 2)
    store.restore(1)
    for agent in agents:
        assert agent.follow()
        assert agent.find_state(KEY) == 2

    write(store, agents, 3)

    assert [agent.find_state(KEY) for agent in agents] == [3, 3]


def test_policy_missing_from_the_copy_is_retired_after_the_carry_over():
    """Guards against a lost policy that stays in force for good, or for no time."""
    clock = FakeClock()
    store, agents = build_fleet(2, clock)
    write(store, agents, 1)
    store.restore(0)
    exchange(agents)
    for agent in agents:
        assert agent.follow()
        assert agent.find_state(KEY) == 1
    exchange(agents)
    assert [agent.find_state(KEY) for agent in agents] == [1, 1]

    end_carry_over(clock)
    assert agents[0].follow()
    exchange(agents)

    assert [agent.find_state(KEY) for agent in agents] == ["retired", "retired"]


def test_retired_version_does_not_return_with_the_copy():
    """Guards against a withdrawn version that an older copy brings back."""
    clock = FakeClock()
    store, agents = build_fleet(2, clock)
    write(store, agents, 1)
    store.write(KEY, build_policy(KEY, 1, "retired"))
    assert agents[0].follow()
    exchange(agents)
    store.restore(1)
    for agent in agents:
        assert agent.follow()
        assert agent.find_state(KEY) == "retired"

    end_carry_over(clock)
    assert agents[0].follow()

    assert agents[0].find_state(KEY) == "retired"


def test_deleted_version_does_not_return_before_the_carry_over_ends():
    """Guards against a deletion that is undone because the store lost it."""
    store, agents = build_fleet(1)
    write(store, agents, 1)
    store.write(KEY, None)
    assert agents[0].follow()
    store.restore(1)

    assert agents[0].follow()

    assert agents[0].find_state(KEY) == "retired"


def test_agent_that_starts_after_the_return_brings_no_older_copy_back():
    """Guards against a new agent, which knows only the copy, that overrules others."""
    store, agents = build_fleet(2)
    write(store, agents, 1)
    write(store, agents, 2)
    store.restore(1)
    agents.append(ModelAgent(store, FakeClock()))
    assert agents[2].read()
    assert agents[2].find_state(KEY) == 1

    exchange(agents)
    assert [agent.find_state(KEY) for agent in agents[:2]] == [2, 2]
    assert agents[0].follow()
    exchange(agents)

    assert [agent.find_state(KEY) for agent in agents] == [2, 2, 2]


def test_peer_of_an_earlier_era_overrules_nothing():
    """Guards against a partitioned peer that brings a lost record back."""
    store, agents = build_fleet(2)
    write(store, agents, 1)
    store.write(KEY, build_policy(KEY, 2))
    assert agents[1].follow()
    store.restore(1)
    store.write(KEY, build_policy(KEY, 3))
    assert agents[0].follow()

    exchange(agents)

    assert [agent.find_state(KEY) for agent in agents] == [3, 3]
    assert agents[1].progress.era == 2


def test_reader_behind_its_peers_takes_no_response_of_an_earlier_era():
    """Guards against a late response that is taken for the store's loss."""
    store, agents = build_fleet(2)
    write(store, agents, 1)
    store.restore(0)
    assert agents[0].follow()
    exchange(agents)
    store.era -= 1

    assert not agents[1].read()
    assert not agents[1].read()

    assert agents[1].progress.lost_after is None


def test_store_that_is_restored_again_reverts_nothing():
    """Guards against records carried over once that the next return loses."""
    store, agents = build_fleet(2)
    write(store, agents, 1)
    write(store, agents, 2)
    store.restore(1)
    assert agents[0].follow()
    store.restore(1)
    for agent in agents:
        assert agent.follow()
    exchange(agents)
    assert [agent.find_state(KEY) for agent in agents] == [2, 2]

    write(store, agents, 3)

    assert [agent.find_state(KEY) for agent in agents] == [3, 3]


def test_agent_that_starts_takes_the_lost_policy_from_its_entry():
    """Guards against an entry that loses its policy because its agent restarted."""
    store, agents = build_fleet(1)
    write(store, agents, 1)
    entry_copies = list(agents[0].table.get_copies())
    store.restore(0)
    started = ModelAgent(store, FakeClock())
    assert started.read()

    started.progress.merge(entry_copies)
    started.progress.advance_to(agents[0].progress.watermark)

    assert started.find_state(KEY) == 1
    assert started.progress.era == 2


def test_record_of_a_process_without_eras_is_of_era_zero():
    """Guards against an upgrade that orders records of both versions differently."""
    plain = encode_message(RecordCopies((PolicyRecord(KEY, 7, b"x"),)))
    (record,) = decode_message(plain).records
    assert record.position == StorePosition(0, 7)
    assert StorePosition(0, 7).pack() == 7
    positions = [StorePosition(era, number) for era in (0, 1, 9) for number in (0, 5)]
    packed = [position.pack() for position in positions]
    assert packed == sorted(packed)
    assert [StorePosition.unpack(number) for number in packed] == positions


def build_fleet(count, clock=None):
    store, clock = EraStore(), clock or FakeClock()
    return store, [ModelAgent(store, clock) for _ in range(count)]


def write(store, agents, number):
    """Writes a policy, which all agents read."""
    store.write(KEY, build_policy(KEY, number))
    for agent in agents:
        assert agent.follow()


def exchange(agents):
    for _ in agents:
        for receiver in agents:
            for sender in agents:
                receiver.receive(sender)


def test_retirement_between_two_reads_counts():
    """Guards against a version that is active again as only its last change counts."""
    store, agents = build_fleet(1)
    write(store, agents, 1)
    store.write(KEY, build_policy(KEY, 1, "retired"))
    store.write(KEY, build_policy(KEY, 2))

    assert agents[0].follow()

    assert agents[0].find_state(KEY) == "retired"
