from tests.agent.memory_overlay import MemoryOverlay
from tests.fake_clock import FakeClock
from verbenacross.agent.observation_broadcaster import (
    MAX_BURST_OBSERVATIONS,
    ObservationBroadcaster,
)
from verbenacross.protocol.messages import Observation, Observations
from verbenacross.upstreams import ObservationTable


def test_mass_event_is_paced_and_draining_goes_first():
    """The loss of a failure domain must not exceed the control traffic limit of a node.

    Draining observations are sent before all others.
    """
    clock = FakeClock()
    overlay = MemoryOverlay("a", "b")
    table = ObservationTable(clock)
    entries: list[Observations] = []
    broadcaster = ObservationBroadcaster(
        table, overlay.networks["a"], entries.append, clock
    )
    broadcast: list[Observation] = []
    overlay.networks["b"].messages.subscribe(
        lambda received: broadcast.extend(received.message.observations)
    )
    table.merge(Observation(f"e{i}", "a", "ejected", 0, 30_000) for i in range(1_000))
    table.merge([Observation("d", "a", "draining", 0, 30_000)])
    table.merge([Observation("d", "a", "load", 0, 5_000, 1)])
    broadcaster.flush()
    overlay.deliver()
    assert len(broadcast) == MAX_BURST_OBSERVATIONS
    assert broadcast[0].kind == "draining"
    clock.now += 10
    broadcaster.flush()
    overlay.deliver()
    assert len(broadcast) == 2 * MAX_BURST_OBSERVATIONS
    assert all(item.kind != "load" for item in broadcast)
    assert sum(len(message.observations) for message in entries) == 1_002
