"""Tests policy distribution between processes under store and agent faults."""

import json
import signal
import time

import pytest

from .agents import HOST, IN_FORCE_TARGET_S, SERVICE, AgentFleet, build_key, call


def test_records_stay_in_force_through_an_outage_and_restarts():
    """Agents, entries and new instances must keep the records in a store outage."""
    with AgentFleet() as fleet:
        names = fleet.add_agents(4)
        first = fleet.write_policy(SERVICE, 1)
        fleet.wait_in_force(names, 1, first)
        second = fleet.write_policy(SERVICE, 1, expected=first)
        fleet.set_faults(down=True)
        fleet.wait_in_force(names, 1, second)
        for name in names[:2]:
            fleet.kill(f"{name}-agent")
            fleet.kill(f"{name}-entry")
            fleet.start_agent(name)
            fleet.start_entry(name)
        fleet.add_instance("late", failure_domain="c")
        fleet.publish_instances()
        fleet.wait_until(lambda: fleet.is_in_force([*names, "late"], 1, second))
        # All agents restart; only their entries still have the records.
        for name in [*names, "late"]:
            fleet.kill(f"{name}-agent")
        for name in [*names, "late"]:
            fleet.start_agent(name)
        fleet.wait_until(
            lambda: all(fleet._responds_ok(url) for url in list_ready_urls(fleet))
        )
        assert fleet.read_state("late")["watermark"] >= second
        fleet.set_faults(down=False)
        third = fleet.write_policy(SERVICE, 2)
        fleet.wait_in_force([*names, "late"], 2, third)
        assert fleet.is_in_force([*names, "late"], 1, second)


def list_ready_urls(fleet):
    return [f"http://{HOST}:{p.agent_admin}/ready" for p in fleet.ports.values()]


def test_all_instances_restarted_during_an_outage_wait_for_the_store():
    """Instances must not serve before they know which records are in force.

    If all restart while the store is down, none of them has any record.
    """
    with AgentFleet() as fleet:
        names = fleet.add_agents(3)
        valid = fleet.write_policy(SERVICE, 1)
        retired = fleet.write_policy(SERVICE, 2, state="retired")
        fleet.write_policy(SERVICE, 1, expected=valid, limits={"queue_size": -1})
        fleet.write_policy(SERVICE, 2, expected=retired, state="active")
        fleet.wait_until(lambda: fleet.read_status(names[0])["findings"])
        saved = f"{fleet.store_url}/v1/kv?prefix=valid/"
        fleet.wait_until(lambda: len(json.loads(call(saved)[2])["entries"]) == 2)
        fleet.set_faults(down=True)
        for name in names:
            fleet.kill(f"{name}-agent")
            fleet.kill(f"{name}-entry")
        for name in names:
            fleet.start_agent(name)
            fleet.start_entry(name)
        fleet.wait_until(
            lambda: all(len(fleet.get_states(name)) == 3 for name in names)
        )
        time.sleep(2.5)
        assert not any(fleet.read_state(name, "entry")["ready"] for name in names)
        fleet.set_faults(down=False)
        fleet.wait_in_force(names, 1, valid, IN_FORCE_TARGET_S + 2.0)
        policies = fleet.read_state(names[0], "entry")["policies"]
        assert policies[build_key(2)]["state"] == "retired"


def test_store_that_lost_its_writes_reverts_nothing():
    """A store that returns with a lower revision and no events must revert nothing."""
    with AgentFleet() as fleet:
        names = fleet.add_agents(3)
        fleet.write_policy(SERVICE, 1)
        before_loss = fleet.write_policy(SERVICE, 2)
        fleet.wait_in_force(names, 2, before_loss)
        fleet.kill("platform")
        fleet.start(
            "platform", ["-m", "standins.platform", "--port", str(fleet.store_port)]
        )
        fleet.wait_until(lambda: fleet._responds_ok(f"{fleet.store_url}/control/calls"))
        fleet.publish_instances()
        reader = next(n for n in names if fleet.read_status(n)["reader"])
        fleet.wait_until(
            lambda: "lost writes" in str(fleet.read_status(reader)["findings"])
        )
        after_loss = fleet.write_policy(SERVICE, 3)
        fleet.wait_in_force(names, 3, after_loss)
        for version in range(4, 8):
            last = fleet.write_policy(SERVICE, version)
        fleet.wait_in_force(names, 7, last)
        fleet.kill(f"{reader}-agent")
        fleet.start_agent(reader)
        fleet.wait_until(lambda: fleet.read_status(reader)["reader"])
        # Longer than a new agent waits for the records of a peer.
        time.sleep(3.0)
        assert fleet.is_in_force(names, 2, before_loss)
        states = [
            policy["state"]
            for name in names
            for policy in fleet.read_state(name, "entry")["policies"].values()
        ]
        assert states == ["active"] * 3 * 7


def test_slow_store_and_lost_answers_delay_but_lose_nothing():
    """Changes must arrive although the store responds after the initial time-out."""
    with AgentFleet() as fleet:
        names = fleet.add_agents(2)
        fleet.set_faults(delay_ms=2_500)
        revision = fleet.write_policy(SERVICE, 1)
        fleet.wait_in_force(names, 1, revision, 15.0)
        fleet.set_faults(delay_ms=0, lose_answers=1)
        with pytest.raises(OSError):
            fleet.write_policy(SERVICE, 2)
        fleet.wait_until(lambda: build_key(2) in fleet.read_state(names[1])["records"])


def test_racing_writers_leave_one_record_everywhere():
    """Entries must agree on one record after concurrent writes of one version."""
    with AgentFleet() as fleet:
        names = fleet.add_agents(3)
        revision = fleet.write_policy(SERVICE, 1)
        accepted_revisions = []
        for _ in range(10):
            for writer in range(2):
                limits = {"queue_size": writer}
                try:
                    written = fleet.write_policy(SERVICE, 1, revision, limits=limits)
                except RuntimeError:
                    continue
                accepted_revisions.append(written)
            revision = accepted_revisions[-1]
        fleet.wait_in_force(names, 1, accepted_revisions[-1])
        assert len(accepted_revisions) == 10


def test_silent_store_connections_are_replaced():
    """A watch on a connection that went silent must be moved to a new connection."""
    with AgentFleet() as fleet:
        port, control = fleet.add_proxy("store-proxy", f"{HOST}:{fleet.store_port}")
        names = fleet.add_agents(2, store_url=f"http://{HOST}:{port}")
        fleet.wait_until(lambda: all(fleet.read_status(n)["reader"] for n in names))
        call(f"{control}/control", "POST", {"connections": "open", "silent": True})
        revision = fleet.write_policy(SERVICE, 1)
        fleet.wait_in_force(names, 1, revision)


def test_readers_return_spread_out_and_calls_do_not_grow():
    """Store calls must not grow with the number of agents.

    After an outage the readers must not all return at once.
    """
    rates = []
    for count in (4, 8):
        with AgentFleet() as fleet:
            fleet.add_agents(count, with_entry=False)
            fleet.wait_until(lambda fleet=fleet: count_readers(fleet) == 4)
            started, calls = time.monotonic(), fleet.count_store_calls()
            time.sleep(2.0)
            elapsed = time.monotonic() - started
            rates.append((fleet.count_store_calls() - calls) / elapsed)
            fleet.set_faults(down=True)
            time.sleep(3.0)
            calls = fleet.count_store_calls()
            fleet.set_faults(down=False)
            time.sleep(1.0)
            # Each of the four readers makes two reads and a watch, plus a few retries.
            assert fleet.count_store_calls() - calls <= 4 * 5
    assert all(rate <= 4 * 1.5 for rate in rates), rates


def count_readers(fleet):
    return sum(fleet.read_status(name)["reader"] for name in fleet.ports)


def test_paused_entry_and_agent_catch_up():
    """Processes that were paused during a write must catch up once resumed."""
    with AgentFleet() as fleet:
        names = fleet.add_agents(3)
        stopped = [f"{names[0]}-agent", f"{names[1]}-entry"]
        for process in stopped:
            fleet.signal(process, signal.SIGSTOP)
        revision = fleet.write_policy(SERVICE, 1)
        fleet.wait_in_force(names[2:], 1, revision)
        time.sleep(2.0)
        for process in stopped:
            fleet.signal(process, signal.SIGCONT)
        fleet.wait_in_force(names, 1, revision)
        fleet.wait_until(
            lambda: all(fleet.read_status(n)["in_force"] >= revision for n in names)
        )
