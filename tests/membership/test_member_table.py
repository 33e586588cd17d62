"""Members: merging, refutation, bounded gossip, choices by hashes."""

import random

from hypothesis import given, settings, strategies

from verbenacross.membership import (
    MemberGossip,
    MemberTable,
    PauseDetector,
    choose_links,
    choose_readers,
)
from verbenacross.protocol import decode_message
from verbenacross.protocol.messages import MemberUpdate

FLEET = 64
BYTES_PER_SECOND = 4_096
TICK_S = 0.1
MAX_BATCH_BYTES = 2_048


def build_member(instance, state="alive", incarnation=1, in_force=0):
    domain = f"domain-{sum(instance.encode()) % 4}"
    return MemberUpdate(instance, incarnation, "10.0.0.1:7000", domain, state, in_force)


UPDATES = strategies.lists(
    strategies.builds(
        build_member,
        strategies.sampled_from(["a", "b"]),
        strategies.sampled_from(["alive", "suspect", "leaving", "dead"]),
        strategies.integers(1, 3),
        strategies.integers(0, 3),
    ),
    max_size=8,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(UPDATES, strategies.randoms(use_true_random=False))
def test_merge_is_independent_of_order_and_repetition(updates, generator):
    """Guards against views that differ by how gossip happened to travel."""
    shuffled = updates + updates
    generator.shuffle(shuffled)
    tables = [MemberTable(build_member("local")) for _ in range(2)]
    tables[0].merge_all(updates, 0.0)
    tables[1].merge_all(shuffled, 0.0)
    assert tables[0].members == tables[1].members
    assert tables[0].build_digest() == tables[1].build_digest()


@settings(max_examples=100, deadline=None, derandomize=True)
@given(UPDATES)
def test_local_member_outranks_every_rumour(updates):
    """Guards against an agent that others go on to think dead."""
    table = MemberTable(build_member("a"))
    other = MemberTable(build_member("other"))
    other.merge_all(updates, 0.0)
    table.merge_all(updates, 0.0)
    other.merge(table.local, 0.0)
    assert table.local.state == "alive"
    assert other.members["a"].state == "alive"


def test_suspect_dies_unless_it_refutes():
    """Guards suspicion: 2 s to refute, no new suspicion right after a refutation."""
    table = MemberTable(build_member("local"))
    table.merge_all([build_member("a"), build_member("b")], 0.0)
    assert table.suspect("a", 0.0) and table.suspect("b", 0.0)
    table.merge(build_member("a", incarnation=2), 1.0)
    table.expire(2.1)
    assert [table.members[name].state for name in "ab"] == ["alive", "dead"]
    assert not table.suspect("a", 3.0)
    assert table.suspect("a", 20.0)
    # Another agent's broken path does not keep this one from suspecting.
    table.merge(build_member("c", "suspect"), 20.0)
    table.merge(build_member("c", incarnation=2), 20.5)
    assert table.suspect("c", 21.0)
    table.restart_suspicion_timers(30.0)
    table.expire(31.0)
    assert table.members["a"].state == "suspect"
    table.merge(build_member("b"), 40.0)
    assert table.members["b"].state == "dead"


def test_new_suspicion_of_a_refuted_member_has_its_full_time():
    """Guards against a death by the timer of a suspicion that was refuted."""
    table = MemberTable(build_member("local"))
    table.merge(build_member("a", "suspect"), 0.0)
    table.merge(build_member("a", "suspect", incarnation=2), 1.5)
    table.expire(2.5)
    assert table.members["a"].state == "suspect"


def test_pause_is_noticed():
    """Guards against a process that acts on what it knew before it was stopped."""
    detector = PauseDetector(0.1, now=0.0)
    assert not detector.check(0.9)
    assert detector.check(2.1)
    assert not detector.check(2.3)


class MemoryLink:
    """One direction of a link between two simulated agents."""

    def __init__(self, receiver):
        self.receiver = receiver
        self.reverse = None

    def send_frame(self, frame):
        updates = decode_message(frame).updates
        gossip = self.receiver.gossip
        gossip.receive(self.reverse, updates, self.receiver.now)


class SimulatedAgent:
    """Member table and gossip without sockets."""

    def __init__(self, name):
        self.now = 0.0
        self.table = MemberTable(build_member(name))
        self.gossip = MemberGossip(self.table, BYTES_PER_SECOND)

    def connect(self, other):
        link, reverse = MemoryLink(other), MemoryLink(self)
        link.reverse, reverse.reverse = reverse, link
        self.gossip.add_link(link)
        other.gossip.add_link(reverse)


def test_half_of_the_agents_replaced_settles_within_the_budget():
    """Guards against gossip that exceeds its bytes or takes long in bulk changes."""
    names = [f"instance-{index}" for index in range(FLEET)]
    agents = {name: SimulatedAgent(name) for name in names}
    members = [agent.table.local for agent in agents.values()]
    survivors = names[: FLEET // 2]
    gone = names[FLEET // 2 :]
    fresh = [f"instance-{FLEET + index}" for index in range(FLEET // 2)]
    agents |= {name: SimulatedAgent(name) for name in fresh}
    for name in survivors:
        agents[name].table.merge_all(members, 0.0)
    running = survivors + fresh
    for name in running:
        for other in choose_links(name, running, 6):
            agents[name].connect(agents[other])
    for name in gone:
        watcher = agents[random.Random(name).choice(survivors)]
        watcher.table.merge(build_member(name, "dead"), 0.0)
    elapsed = 0.0
    while not all(is_settled(agents[name], running, gone) for name in running):
        elapsed += TICK_S
        assert elapsed < 6.0
        for name in running:
            agents[name].gossip.send_queued(TICK_S)
    sent = max(agents[name].gossip.sent_bytes for name in running)
    # One second may be saved up, and the last batch may exceed what is left.
    assert sent <= BYTES_PER_SECOND * (elapsed + 1.0) + MAX_BATCH_BYTES


def is_settled(agent, running, gone):
    members = agent.table.members
    seen = {name for name in running if name in members}
    alive = {member.instance for member in agent.table.get_live_members()}
    return len(seen) == len(running) and not alive & set(gone)


def test_choices_are_alike_and_cover_the_fleet():
    """Guards readers per domain, and an overlay in which every member is watched."""
    names = [f"instance-{index}" for index in range(FLEET)]
    members = [build_member(name) for name in names]
    readers = choose_readers(members, 2)
    assert readers == choose_readers(reversed(members), 2)
    domains = [
        member.failure_domain for member in members if member.instance in readers
    ]
    assert all(domains.count(domain) == 2 for domain in set(domains))
    links = {name: choose_links(name, names, 6) for name in names}
    assert all(
        len(chosen) == 6 and name not in chosen for name, chosen in links.items()
    )
    watchers = [sum(name in chosen for chosen in links.values()) for name in names]
    assert min(watchers) >= 2
    assert choose_links("a", ["a"], 6) == set()
