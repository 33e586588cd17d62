"""Membership and peer links of real processes under kills, pauses and cut paths."""

import signal
import time

import pytest

from standins.fleet import find_free_ports

from .agents import HOST, SERVICE, AgentFleet, call

SETTLE_TARGET_S = 10.0


def test_lost_failure_domain_is_replaced():
    """Guards bulk changes: half of the agents die at once and others join."""
    with AgentFleet() as fleet:
        names = fleet.add_agents(8, with_entry=False)
        lost, kept = names[1::2], names[::2]
        for name in lost:
            fleet.kill(f"{name}-agent")
        fresh = [f"fresh-{index}" for index in range(4)]
        for name in fresh:
            fleet.add_instance(name, failure_domain="c", with_entry=False)
        fleet.publish_instances()
        running = kept + fresh

        def is_settled():
            return fleet.all_see(running, running, "alive") and not any(
                fleet.get_states(name).get(other) in ("alive", "suspect")
                for name in running
                for other in lost
            )

        fleet.wait_until(is_settled, SETTLE_TARGET_S)
        readers = [n for n in running if fleet.read_status(n)["reader"]]
        assert len(readers) == 4


def test_stopped_agent_is_dead_and_joins_again():
    """Guards against a paused agent that suspects the others when it wakes."""
    with AgentFleet() as fleet:
        names = fleet.add_agents(4, with_entry=False)
        others = names[1:]
        fleet.signal(f"{names[0]}-agent", signal.SIGSTOP)
        fleet.wait_until(lambda: fleet.all_see(others, names[:1], "dead"), 8.0)
        fleet.signal(f"{names[0]}-agent", signal.SIGCONT)
        woken = time.monotonic()
        while time.monotonic() - woken < 3.0:
            states = fleet.get_states(names[0])
            assert all(states[name] == "alive" for name in others), states
        assert fleet.all_see(names, names, "alive")


def test_terminated_agent_announces_leaving():
    """Guards against waiting for the liveness timeout of an agent that stops."""
    with AgentFleet() as fleet:
        names = fleet.add_agents(3, with_entry=False)
        assert fleet.terminate(f"{names[0]}-agent") == 0
        fleet.wait_until(lambda: fleet.all_see(names[1:], names[:1], "leaving"), 1.0)


@pytest.mark.parametrize("fault", [{"silent": True}, {"cut": "to_client"}])
def test_silent_or_cut_links_are_replaced(fault):
    """Guards against links that pass nothing, in one or both directions."""
    with AgentFleet() as fleet:
        names, controls = add_proxied_agents(fleet, 3)
        for control in controls:
            call(f"{control}/control", "POST", {"connections": "open", **fault})
        revision = fleet.write_policy(SERVICE, 1)
        fleet.wait_in_force(names, 1, revision)
        deadline = time.monotonic() + 6.0
        while time.monotonic() < deadline:
            states = [fleet.get_states(name) for name in names]
            assert all("dead" not in seen.values() for seen in states), states
        assert all(fleet.all_see(names, [name], "alive") for name in names)


def add_proxied_agents(fleet, count):
    """Starts agents that reach each other only through proxies."""
    names, controls = [], []
    for index in range(count):
        name = f"instance-{index}"
        peer = find_free_ports(1)[0]
        port, control = fleet.add_proxy(f"{name}-proxy", f"{HOST}:{peer}")
        addresses = {
            "peer_listen": f"{HOST}:{peer}",
            "advertise": f"{HOST}:{port}",
        }
        fleet.add_instance(name, "a", {**addresses, "peer_links": 2})
        fleet.instances[-1]["address"] = f"{HOST}:{port}"
        names.append(name)
        controls.append(control)
    fleet.publish_instances()
    fleet.wait_ready()
    fleet.wait_until(lambda: all(len(fleet.get_states(n)) == count for n in names))
    return names, controls


def test_one_way_cuts_kill_no_member():
    """Guards refutation: agents that cannot reach each other, but others, live."""
    with AgentFleet() as fleet:
        names, controls = add_proxied_agents(fleet, 4)
        # The first two can open links to the others, and nobody to them.
        for control in controls[:2]:
            call(f"{control}/control", "POST", {"cut": "to_target"})
        deadline = time.monotonic() + 8.0
        while time.monotonic() < deadline:
            states = [fleet.get_states(name) for name in names]
            assert all("dead" not in seen.values() for seen in states), states
            time.sleep(0.1)
        revision = fleet.write_policy(SERVICE, 1)
        fleet.wait_in_force(names, 1, revision)


def test_reset_links_are_replaced():
    """Guards against members that are suspected when their connections break."""
    with AgentFleet() as fleet:
        names, controls = add_proxied_agents(fleet, 3)
        for _ in range(5):
            for control in controls:
                call(f"{control}/reset", "POST")
            time.sleep(0.3)
        assert all(fleet.all_see(names, [name], "alive") for name in names)
        revision = fleet.write_policy(SERVICE, 1)
        fleet.wait_in_force(names, 1, revision)
