"""Agents and entries as processes whose store is restored from a copy."""

import time

from standins.fleet import START_TIMEOUT_S
from tests.integration.agents import (
    IN_FORCE_TARGET_S,
    SERVICE,
    AgentFleet,
    build_key,
    call,
)
from verbenacross.infrastructure.key_value_store import StorePosition


def control(fleet, action):
    call(f"{fleet.store_url}/control/{action}", "POST", {})


def test_policy_written_after_the_return_is_in_force_in_time():
    """Guards against a policy that is ignored until the store has passed its revision.

    Lost policies stay in force, also on an agent that restarts around the return.
    """
    with AgentFleet() as fleet:
        names = fleet.add_agents(3)
        first = fleet.write_policy(SERVICE, 1)
        fleet.wait_in_force(names, 1, first)
        control(fleet, "copy")
        for version in range(2, 12):
            lost = fleet.write_policy(SERVICE, version)
        fleet.wait_in_force(names, 11, lost)
        control(fleet, "restore")
        fleet.kill(f"{names[0]}-agent")
        fleet.start_agent(names[0])

        written = fleet.write_policy(SERVICE, 20)
        assert written < lost
        position = StorePosition(1, written).pack()
        fleet.wait_in_force(names[1:], 20, position, IN_FORCE_TARGET_S)
        fleet.wait_in_force(names[:1], 20, position, START_TIMEOUT_S)
        fleet.wait_until(lambda: fleet.read_status(names[0])["era"] == 1)
        time.sleep(3.0)

        for name in names:
            policies = fleet.read_state(name, "entry")["policies"]
            states = {key: policy["state"] for key, policy in policies.items()}
            expected = [build_key(version) for version in (*range(1, 12), 20)]
            assert states == dict.fromkeys(expected, "active")
            findings = str(fleet.read_status(name)["findings"])
            assert "policies in force are not in the store" in findings
