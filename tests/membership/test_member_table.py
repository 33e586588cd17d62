"""Membership: merging, refutation, rate-limited gossip, rendezvous hashing."""

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

FLEET_SIZE = 64
BYTES_PER_SECOND = 4_096
TICK_S = 0.1
MAX_BATCH_BYTES = 2_048


def build_member(instance, state="alive", incarnation=1, in_force=0):
    domain = f"domain-{sum(instance.encode()) % 4}"
    return MemberUpdate(instance, incarnation, "10.0.0.1:7000", domain, state, in_force)


UPDATE_LISTS = strategies.lists(
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
@given(UPDATE_LISTS, strategies.randoms(use_true_random=False))
def test_merge_is_independent_of_order_and_repetition(updates, generator):
    """Guards against tables that depend on the order or repetition of updates."""
    shuffled = updates + updates
    generator.shuffle(shuffled)
    tables = [MemberTable(build_member("local")) for _ in range(2)]
    tables[0].merge_all(updates, 0.0)
    tables[1].merge_all(shuffled, 0.0)
    assert tables[0].members == tables[1].members
    assert tables[0].build_digest() == tables[1].build_digest()


@settings(max_examples=100, deadline=None, derandomize=True)
@given(UPDATE_LISTS)
def test_local_member_outranks_every_rumour(updates):
    """Guards against a live agent that other agents keep as suspect or dead."""
    table = MemberTable(build_member("a"))
    other = MemberTable(build_member("other"))
    other.merge_all(updates, 0.0)
    table.merge_all(updates, 0.0)
    other.merge(table.local, 0.0)
    assert table.local.state == "alive"
    assert other.members["a"].state == "alive"


def test_suspect_dies_unless_it_refutes():
    """Guards against a missing death or a repeated false suspicion.

    A suspect has 2 s to refute. After a refutation, the agent that suspected it waits
    before it suspects it again.
    """
    table = MemberTable(build_member("local"))
    table.merge_all([build_member("a"), build_member("b")], 0.0)
    assert table.suspect("a", 0.0) and table.suspect("b", 0.0)
    table.merge(build_member("a", incarnation=2), 1.0)
    table.expire(2.1)
    assert [table.members[name].state for name in "ab"] == ["alive", "dead"]
    assert not table.suspect("a", 3.0)
    assert table.suspect("a", 20.0)
    # A refuted suspicion of another agent causes no back-off here.
    table.merge(build_member("c", "suspect"), 20.0)
    table.merge(build_member("c", incarnation=2), 20.5)
    assert table.suspect("c", 21.0)
    table.restart_suspicion_timers(30.0)
    table.expire(31.0)
    assert table.members["a"].state == "suspect"
    table.merge(build_member("b"), 40.0)
    assert table.members["b"].state == "dead"


def test_new_suspicion_of_a_refuted_member_has_its_full_time():
    """Guards against a member marked dead by the timeout of a refuted suspicion."""
    table = MemberTable(build_member("local"))
    table.merge(build_member("a", "suspect"), 0.0)
    table.merge(build_member("a", "suspect", incarnation=2), 1.5)
    table.expire(2.5)
    assert table.members["a"].state == "suspect"


def test_pause_is_noticed():
    """Guards against a process that acts on stale state after it was paused."""
    detector = PauseDetector(0.1, now=0.0)
    assert not detector.check(0.9)
    assert detector.check(2.1)
    assert not detector.check(2.3)


class SimulatedLink:
    """One direction of a link between two simulated agents."""

    def __init__(self, receiver):
        self.receiver = receiver
        self.reverse = None

    def send_frame(self, frame):
        updates = decode_message(frame).updates
        gossip = self.receiver.gossip
        gossip.receive(self.reverse, updates, self.receiver.now)


class SimulatedAgent:
    """Member table and gossip of one agent, without sockets."""

    def __init__(self, name):
        self.now = 0.0
        self.table = MemberTable(build_member(name))
        self.gossip = MemberGossip(self.table, BYTES_PER_SECOND)

    def connect(self, other):
        link, reverse = SimulatedLink(other), SimulatedLink(self)
        link.reverse, reverse.reverse = reverse, link
        self.gossip.add_link(link)
        other.gossip.add_link(reverse)


def test_half_of_the_agents_replaced_settles_within_the_budget():
    """Guards against gossip that exceeds its byte budget or converges slowly.

    Half of the agents fail and as many join at the same time.
    """
    names = [f"instance-{index}" for index in range(FLEET_SIZE)]
    agents = {name: SimulatedAgent(name) for name in names}
    members = [agent.table.local for agent in agents.values()]
    survivors = names[: FLEET_SIZE // 2]
    failed = names[FLEET_SIZE // 2 :]
    joined = [f"instance-{FLEET_SIZE + index}" for index in range(FLEET_SIZE // 2)]
    agents |= {name: SimulatedAgent(name) for name in joined}
    for name in survivors:
        agents[name].table.merge_all(members, 0.0)
    running = survivors + joined
    for name in running:
        for other in choose_links(name, running, 6):
            agents[name].connect(agents[other])
    for name in failed:
        detecting_agent = agents[random.Random(name).choice(survivors)]
        detecting_agent.table.merge(build_member(name, "dead"), 0.0)
    elapsed = 0.0
    while not all(is_settled(agents[name], running, failed) for name in running):
        elapsed += TICK_S
        assert elapsed < 6.0
        for name in running:
            agents[name].gossip.send_queued(TICK_S)
    sent = max(agents[name].gossip.sent_bytes for name in running)
    # Tokens of one second may accumulate, and the last batch may exceed the rest.
    assert sent <= BYTES_PER_SECOND * (elapsed + 1.0) + MAX_BATCH_BYTES


def is_settled(agent, running, failed):
    members = agent.table.members
    seen = {name for name in running if name in members}
    live = {member.instance for member in agent.table.get_live_members()}
    return len(seen) == len(running) and not live & set(failed)


def test_choices_are_alike_and_cover_the_fleet():
    """Guards against uneven readers and members that too few agents monitor.

    Agents select the same readers for each failure domain, and every member is
    connected to by at least two others.
    """
    names = [f"instance-{index}" for index in range(FLEET_SIZE)]
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
    monitor_counts = [
        sum(name in chosen for chosen in links.values()) for name in names
    ]
    assert min(monitor_counts) >= 2
    assert choose_links("a", ["a"], 6) == set()
