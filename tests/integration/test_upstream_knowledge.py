"""What agents know together of upstreams, through separate processes."""

import json
import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from urllib.error import URLError

import pytest

from standins.fleet import Fleet, call

DRAIN_LIMIT_S = 3.0
PROBE_RATE = 8
LONG_SLOTS = 2
NAMES = ("one", "two", "three")
CLASSES = [{"name": "long", "path_prefix": "/web/long", "size": "long"}]


@contextmanager
def start_fleet(rate: float, with_entry: bool = True) -> Iterator[Fleet]:
    with Fleet() as fleet:
        for index in range(2):
            fleet.add_upstream("web", index)
        for name in NAMES:
            fleet.add_instance(name, with_entry=with_entry)
        fleet.publish_instances()
        fleet.write_policy(
            "web",
            1,
            classes=CLASSES,
            measuring={"probes_per_second": rate},
            # By load, calls sent one after another may never reach one of the two.
            routing={"chooser": "random", "outlier_detection": False},
        )
        fleet.wait_ready()
        fleet.wait_until(lambda: all(is_joined(fleet, name) for name in NAMES))
        yield fleet


def is_joined(fleet: Fleet, name: str) -> bool:
    state = fleet.read_state(name)
    listed = len(state["directory"]) == 2 + len(NAMES)
    return listed and state["knowledge"]["alive"] == len(NAMES)


def get(fleet: Fleet, name: str, path: str, **headers: str) -> tuple[int, Any]:
    url = fleet.get_entry_url(name) + path
    status, answered, _ = call(url, headers=headers, timeout_s=30.0)
    return status, answered


def read_draining(fleet: Fleet, name: str) -> list[str]:
    try:
        return list(fleet.read_state(name, "entry")["draining"])
    except OSError:
        return []


def find_holder(fleet: Fleet, names: Any = NAMES) -> str | None:
    for name in names:
        if fleet.read_state(name)["knowledge"]["owned_services"] == ["web"]:
            return name
    return None


def wait_for_holder(fleet: Fleet, names: Any = NAMES) -> str:
    fleet.wait_until(lambda: find_holder(fleet, names) is not None)
    holder = find_holder(fleet, names)
    assert holder is not None
    return holder


def keep_sending(fleet: Fleet, name: str, path: str, until: float, ms: str) -> None:
    while time.time() < until:
        get(fleet, name, path, **{"X-Work-Ms": ms, "Request-Timeout-Ms": "8000"})


def send_from_all(fleet: Fleet, seconds: float, ms: str) -> list[threading.Thread]:
    until = time.time() + seconds
    threads = [
        threading.Thread(
            target=keep_sending, args=(fleet, name, "/web/long", until, ms)
        )
        for name in NAMES
        for _ in range(3)
    ]
    for thread in threads:
        thread.start()
    return threads


def read_long(fleet: Fleet, upstream: str) -> list[tuple[float, float]]:
    ran = fleet.read_ledger(upstream)["ran"]
    return [(item["started"], find_end(item)) for item in ran]


def find_end(item: dict[str, Any]) -> float:
    """Returns when the work left its slot: done, cancelled, or not yet."""
    return float(item["finished"] or item.get("cancelled") or time.time())


def count_most_at_once(works: list[tuple[float, float]]) -> int:
    return max(
        (sum(s <= start < end for s, end in works) for start, _ in works), default=0
    )


def assert_share_is_kept(fleet: Fleet) -> None:
    for upstream in ("web-0", "web-1"):
        assert count_most_at_once(read_long(fleet, upstream)) <= LONG_SLOTS


def find_last_start(fleet: Fleet) -> float:
    works = read_long(fleet, "web-0") + read_long(fleet, "web-1")
    return max(start for start, _ in works)


@pytest.mark.parametrize("channel", ["header", "probe"])
def test_drain_seen_once_stops_every_entry(channel: str) -> None:
    """Guards the 3 s in which a leaving upstream stops to get work from anyone."""
    rate = 0 if channel == "header" else 2
    with start_fleet(rate) as fleet:
        if channel == "probe":
            wait_for_holder(fleet)
        fleet.set_store_faults(list_delay_s=30.0)
        fleet.set_behaviour("web-0", draining=True)
        fleet.set_instance_state("web-0", "leaving")
        drained_at = time.time()
        if channel == "header":
            while get(fleet, "one", "/web/x")[1].get("X-Upstream") != "web-0":
                pass
        else:
            fleet.wait_until(lambda: fleet.read_ledger("web-0")["probes"] > 0)
            time.sleep(2 / rate)
        time.sleep(max(0, drained_at + DRAIN_LIMIT_S - time.time()))
        before = len(fleet.read_ledger("web-0")["ran"])
        for _ in range(20):
            for name in NAMES:
                assert get(fleet, name, "/web/x")[0] == 200
        assert len(fleet.read_ledger("web-0")["ran"]) == before
        shown = [i for i in fleet.read_state("one")["directory"] if i["id"] == "web-0"]
        assert shown[0]["state"] == "live", "the list must still lag"
        fleet.add_instance("four")
        fleet.wait_until(lambda: "web-0" in read_draining(fleet, "four"))


def test_listed_change_reaches_every_entry_in_time() -> None:
    """Guards leaving and return that only the readers of the list see."""
    with start_fleet(0) as fleet:
        for state, gets_work in (("leaving", False), ("live", True)):
            fleet.set_instance_state("web-0", state)
            time.sleep(DRAIN_LIMIT_S)
            for name in NAMES:
                before = len(fleet.read_ledger("web-0")["ran"])
                for _ in range(20):
                    assert get(fleet, name, "/web/x")[0] == 200
                ran = len(fleet.read_ledger("web-0")["ran"]) - before
                assert (ran > 0) == gets_work


def test_probe_budget_holds_in_every_second_under_faults() -> None:
    """Guards the budget through kill, a pause past the lease, resume and restart."""
    with start_fleet(PROBE_RATE, with_entry=False) as fleet:
        killed = wait_for_holder(fleet)
        time.sleep(3)
        fleet.kill(f"{killed}-agent")
        rest = [name for name in NAMES if name != killed]
        paused = wait_for_holder(fleet, rest)
        fleet.start_agent(killed)
        fleet.wait_until(lambda: answers(fleet, killed))
        time.sleep(3)
        fleet.signal(f"{paused}-agent", signal.SIGSTOP)
        others = [name for name in NAMES if name != paused]
        fleet.wait_until(lambda: probes_recently(fleet) == 0, 10)
        wait_for_holder(fleet, others)
        fleet.wait_until(lambda: probes_recently(fleet) > 0, 10)
        fleet.signal(f"{paused}-agent", signal.SIGCONT)
        time.sleep(2)
        restarted = wait_for_holder(fleet)
        fleet.terminate(f"{restarted}-agent")
        fleet.start_agent(restarted)
        time.sleep(5)
        assert probes_recently(fleet) > 0
        sent = 0
        for upstream in ("web-0", "web-1"):
            times = fleet.read_ledger(upstream)["probe_times"]
            sent += len(times)
            for start in times:
                assert sum(start <= t < start + 1 for t in times) <= PROBE_RATE
        assert sent > 10 * PROBE_RATE


def answers(fleet: Fleet, name: str) -> bool:
    """Returns whether an agent answers questions for its state."""
    try:
        fleet.read_state(name)
    except URLError:
        return False
    return True


def probes_recently(fleet: Fleet) -> int:
    times = fleet.read_ledger("web-0")["probe_times"]
    return sum(t > time.time() - 1 for t in times)


def test_long_share_holds_over_entries_and_a_killed_coordinator() -> None:
    """Guards the slots of short work, and the progress of long work after a fault."""
    with start_fleet(1) as fleet:
        coordinator = wait_for_holder(fleet)
        threads = send_from_all(fleet, 24, "700")
        time.sleep(5)
        fleet.kill(f"{coordinator}-agent")
        killed_at = time.time()
        for thread in threads:
            thread.join()
        assert_share_is_kept(fleet)
        assert find_last_start(fleet) > killed_at + 16
        assert fleet.read_ledger("web-0")["ran"], "long work must use both upstreams"


def test_store_outage_stops_probes_but_neither_drains_nor_long_work() -> None:
    """Guards what agents do among themselves while the store is away."""
    with start_fleet(PROBE_RATE) as fleet:
        wait_for_holder(fleet)
        threads = send_from_all(fleet, 20, "700")
        time.sleep(3)
        fleet.set_store_faults(down=True)
        down_at = time.time()
        for thread in threads:
            thread.join()
        assert_share_is_kept(fleet)
        assert find_last_start(fleet) > down_at + 14
        times = fleet.read_ledger("web-0")["probe_times"]
        assert max(times) < down_at + 10
        fleet.set_behaviour("web-0", draining=True)
        while get(fleet, "one", "/web/x")[1].get("X-Upstream") != "web-0":
            pass
        time.sleep(1)
        before = len(fleet.read_ledger("web-0")["ran"])
        for _ in range(10):
            assert get(fleet, "two", "/web/x")[0] == 200
        assert len(fleet.read_ledger("web-0")["ran"]) == before


def test_dump_shows_probes_and_metrics_count_them() -> None:
    """Guards the figures that operators compare with the budget."""
    with start_fleet(PROBE_RATE) as fleet:
        holder = wait_for_holder(fleet)
        fleet.wait_until(
            lambda: fleet.read_state(holder)["knowledge"]["probes"]["sent"] > 4
        )
        port = fleet.ports[holder].agent_admin
        _, _, body = call(f"http://127.0.0.1:{port}/metrics")
        assert b'verbenacross_probes_total{result="answered"}' in body
        assert json.dumps(fleet.read_state(holder, "entry"))
