from tests.agent.memory_overlay import MemoryOverlay
from tests.fake_clock import FakeClock
from verbenacross.agent.observation_spreader import MAX_BURST, ObservationSpreader
from verbenacross.protocol.messages import Observation, Observations
from verbenacross.upstreams import ObservationTable


def test_mass_event_is_paced_and_draining_goes_first():
    """Guards the byte limit of a node when a failure domain is lost at once."""
    clock = FakeClock()
    overlay = MemoryOverlay("a", "b")
    table = ObservationTable(clock)
    entries: list[Observations] = []
    spreader = ObservationSpreader(table, overlay.networks["a"], entries.append, clock)
    spread: list[Observation] = []
    overlay.networks["b"].messages.subscribe(
        lambda received: spread.extend(received.message.observations)
    )
    table.merge(Observation(f"e{i}", "a", "ejected", 0, 30_000) for i in range(1_000))
    table.merge([Observation("d", "a", "draining", 0, 30_000)])
    table.merge([Observation("d", "a", "load", 0, 5_000, 1)])
    spreader.flush()
    overlay.deliver()
    assert len(spread) == MAX_BURST
    assert spread[0].kind == "draining"
    clock.now += 10
    spreader.flush()
    overlay.deliver()
    assert len(spread) == 2 * MAX_BURST
    assert all(item.kind != "load" for item in spread)
    assert sum(len(message.observations) for message in entries) == 1_002
