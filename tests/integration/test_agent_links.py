"""Tests membership and peer links of agent processes under process and link faults."""

import signal
import time

import pytest

from standins.fleet import find_free_ports

from .agents import HOST, SERVICE, AgentFleet, call

CONVERGENCE_TARGET_S = 10.0


def test_lost_failure_domain_is_replaced():
    """Membership must converge when half of the agents crash and others join."""
    with AgentFleet() as fleet:
        names = fleet.add_agents(8, with_entry=False)
        killed, surviving = names[1::2], names[::2]
        for name in killed:
            fleet.kill(f"{name}-agent")
        joining = [f"fresh-{index}" for index in range(4)]
        for name in joining:
            fleet.add_instance(name, failure_domain="c", with_entry=False)
        fleet.publish_instances()
        running = surviving + joining
        # Process start-up time depends on the machine and does not count.
        fleet.wait_until(lambda: all(fleet.read_status(name) for name in joining))

        def has_converged():
            return fleet.all_report_state(running, running, "alive") and not any(
                fleet.get_states(name).get(other) in ("alive", "suspect")
                for name in running
                for other in killed
            )

        fleet.wait_until(has_converged, CONVERGENCE_TARGET_S)
        readers = [n for n in running if fleet.read_status(n)["reader"]]
        assert len(readers) == 4


def test_stopped_agent_is_dead_and_joins_again():
    """A resumed agent must not suspect peers because it heard nothing while paused."""
    with AgentFleet() as fleet:
        names = fleet.add_agents(4, with_entry=False)
        others = names[1:]
        fleet.signal(f"{names[0]}-agent", signal.SIGSTOP)
        fleet.wait_until(lambda: fleet.all_report_state(others, names[:1], "dead"), 8.0)
        fleet.signal(f"{names[0]}-agent", signal.SIGCONT)
        resumed_at = time.monotonic()
        while time.monotonic() - resumed_at < 3.0:
            states = fleet.get_states(names[0])
            assert all(states[name] == "alive" for name in others), states
        assert fleet.all_report_state(names, names, "alive")


def test_terminated_agent_announces_leaving():
    """A graceful shutdown must be seen by the peers before the liveness time-out."""
    with AgentFleet() as fleet:
        names = fleet.add_agents(3, with_entry=False)
        assert fleet.terminate(f"{names[0]}-agent") == 0
        fleet.wait_until(
            lambda: fleet.all_report_state(names[1:], names[:1], "leaving"), 1.0
        )


@pytest.mark.parametrize("fault", [{"silent": True}, {"cut": "to_client"}])
def test_silent_or_cut_links_are_replaced(fault):
    """Open connections that pass no data in one or both directions must be replaced."""
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
        assert all(fleet.all_report_state(names, [name], "alive") for name in names)


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
    """Agents that cannot reach each other, but can reach others, must stay alive.

    They refute the suspicion through the agents that they can reach.
    """
    with AgentFleet() as fleet:
        names, controls = add_proxied_agents(fleet, 4)
        # The first two agents can open links to the others but cannot be reached.
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
    """Connection resets must not make the members look dead."""
    with AgentFleet() as fleet:
        names, controls = add_proxied_agents(fleet, 3)
        for _ in range(5):
            for control in controls:
                call(f"{control}/reset", "POST")
            time.sleep(0.3)
        assert all(fleet.all_report_state(names, [name], "alive") for name in names)
        revision = fleet.write_policy(SERVICE, 1)
        fleet.wait_in_force(names, 1, revision)


def test_agents_join_again_after_a_cut():
    """The sides of a healed partition must not consider each other dead for ever."""
    with AgentFleet() as fleet:
        names, controls = add_proxied_agents(fleet, 3)
        for control in controls:
            call(f"{control}/control", "POST", {"silent": True})
        fleet.wait_until(
            lambda: all(
                list(fleet.get_states(name).values()).count("dead") == 2
                for name in names
            ),
            CONVERGENCE_TARGET_S,
        )
        # Each agent is now isolated and reads the store itself.
        revision = fleet.write_policy(SERVICE, 1)
        fleet.wait_in_force(names, 1, revision)
        for control in controls:
            call(f"{control}/control", "POST", {"silent": False})
        fleet.wait_until(
            lambda: fleet.all_report_state(names, names, "alive"), CONVERGENCE_TARGET_S
        )
