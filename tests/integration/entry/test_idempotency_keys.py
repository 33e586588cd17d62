"""Tests that at most one request per idempotency key is sent across all entries."""

from __future__ import annotations

import concurrent.futures
import json
import time
import uuid

import pytest

from standins.fleet import call

from .conftest import get_execution
from .raw_caller import RawCaller, build_request, wait_for

pytestmark = pytest.mark.xdist_group("keys")


def publish(path, key, entry="entry-1", work=None, **headers):
    return path.call(
        "/work/publish",
        "POST",
        entry=entry,
        Idempotency_Key=key,
        X_Work_Id=work or key,
        **headers,
    )


def read_keys(path) -> list[dict]:
    body = call(f"{path.fleet.store_url}/v1/kv?prefix=once/work/")[2]
    return [json.loads(entry["value"]) for entry in json.loads(body)["entries"]]


def is_recorded_as_ran(path, key) -> bool:
    response = publish(path, key)
    return response[0] == 409 and get_execution(response) == "ran"


def test_repeated_key_is_answered_with_what_is_known(path):
    """Guards against running a key twice, through the same or another entry."""
    key = uuid.uuid4().hex
    assert publish(path, key)[0] == 200
    assert wait_for(lambda: is_recorded_as_ran(path, key))
    for entry in ("entry-1", "entry-2"):
        response = publish(path, key, entry)
        assert (response[0], get_execution(response)) == (409, "ran")
    assert len(path.find_runs(key)) == 1


def test_one_of_many_simultaneous_requests_with_a_key_runs(path):
    """Guards the compare-and-swap by which one of several entries claims a key."""
    key = uuid.uuid4().hex
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        responses = list(
            pool.map(
                lambda number: publish(path, key, f"entry-{number % 2 + 1}"), range(8)
            )
        )
    assert sorted(response[0] for response in responses) == [200] + [409] * 7
    assert len(path.find_runs(key)) == 1


def test_lost_answer_of_the_store_is_resolved_by_reading_back(path):
    """Guards against refusing or repeating a request whose key was in fact created."""
    earlier, key = uuid.uuid4().hex, uuid.uuid4().hex
    publish(path, earlier)
    assert wait_for(lambda: is_recorded_as_ran(path, earlier))
    path.fleet.set_store_faults(lose_answers=1)
    assert publish(path, key)[0] == 200
    response = publish(path, key, "entry-2")
    assert response[0] == 409
    assert len(path.find_runs(key)) == 1


@pytest.mark.parametrize(
    ("behaviour", "states"),
    [
        ({"break_after_work": 1.0}, (502, 409, "unknown")),
        ({"fail_fast": 1.0}, (500, 409, "unknown")),
        ({"shed_above": -1_000}, (503, 200, None)),
    ],
)
def test_key_keeps_what_is_known_of_a_failed_request(path, behaviour, states):
    """Guards the release of keys.

    A key must not be released if its request may have run, nor kept if the request
    certainly did not run.
    """
    key = uuid.uuid4().hex
    path.set_behaviour(**behaviour)
    first = publish(path, key)
    path.reset()
    second = publish(path, key, "entry-2")
    assert (first[0], second[0]) == states[:2]
    if states[2]:
        assert get_execution(second) == states[2]
    assert len(path.find_runs(key)) == 1


@pytest.mark.parametrize("faults", [{"down": True}, {"delay_ms": 3_000}])
def test_unusable_store_refuses_keyed_requests_only(path, faults):
    """Guards against sending a keyed request whose key is not in the store."""
    key = uuid.uuid4().hex
    path.fleet.set_store_faults(**faults)
    started = time.monotonic()
    response = publish(path, key, Request_Timeout_Ms=600)
    assert time.monotonic() - started < 1.2
    assert (response[0], get_execution(response)) == (503, "not_run")
    assert path.call("/work/plain", "POST")[0] == 200
    assert not path.find_runs(key)
    path.reset()
    assert wait_for(lambda: publish(path, uuid.uuid4().hex)[0] == 200, 8.0)
    # The creation may still reach the store after the refusal; the entry deletes it.
    assert wait_for(lambda: publish(path, key)[0] == 200, 8.0)
    assert len(path.find_runs(key)) == 1


def test_entry_that_dies_leaves_a_key_that_stays_taken(path):
    """Guards against running a key twice after the first entry has crashed."""
    key = uuid.uuid4().hex
    path.add_entries("entry-doomed")
    with RawCaller(path.get_port("entry-doomed")) as caller:
        caller.send(
            build_request(
                "/work/publish",
                "POST",
                b"{}",
                Idempotency_Key=key,
                X_Work_Id=key,
                X_Work_Ms=400,
            )
        )
        assert wait_for(lambda: path.find_runs(key))
        path.fleet.kill("entry-doomed-entry")
    del path.fleet.processes["entry-doomed-entry"]
    response = publish(path, key, "entry-2")
    assert (response[0], get_execution(response)) == (409, "unknown")
    assert len(path.find_runs(key)) == 1


def test_caller_that_leaves_before_the_request_is_sent_frees_the_key(path):
    """Guards against keys that stay claimed by requests that were never sent."""
    key = uuid.uuid4().hex
    publish(path, uuid.uuid4().hex)
    path.fleet.set_store_faults(delay_ms=300)
    with RawCaller(path.get_port()) as caller:
        caller.send(build_request("/work/publish", "POST", b"{}", Idempotency_Key=key))
        time.sleep(0.1)
    time.sleep(0.5)
    path.reset()
    assert wait_for(lambda: publish(path, key)[0] == 200)
    assert len(path.find_runs(key)) == 1


def test_caller_that_leaves_after_the_request_was_sent_keeps_the_key(path):
    """Guards against running a key twice after its first caller disconnected."""
    key = uuid.uuid4().hex
    headers = {"Idempotency_Key": key, "X_Work_Id": key, "X_Work_Ms": 300}
    with RawCaller(path.get_port()) as caller:
        caller.send(build_request("/work/publish", "POST", b"{}", **headers))
        assert wait_for(lambda: path.find_runs(key))
    time.sleep(0.3)
    response = publish(path, key)
    assert (response[0], get_execution(response)) == (409, "unknown")


def test_key_may_be_used_again_after_its_retention(path):
    """Guards the expiry of keys through leases that no entry renews."""
    fleet = path.fleet
    fleet.write_policy("work", 2, idempotency={"retention_s": 1})
    key = uuid.uuid4().hex

    def is_version_2() -> bool:
        return path.call("/work/x", Verbenacross_Policy_Version=2)[0] == 200

    assert wait_for(is_version_2)
    before = len(read_keys(path))
    grants = count_grants(path)
    assert publish(path, key)[0] == 200
    created = time.monotonic()
    statuses = []
    while time.monotonic() - created < 4.0 and 200 not in statuses:
        statuses.append(publish(path, key)[0])
        time.sleep(0.05)
    assert 0.9 < time.monotonic() - created < 3.5
    assert statuses[0] == 409
    assert wait_for(lambda: len(read_keys(path)) <= before, 4.0)
    assert count_grants(path) - grants < 6
    fleet.write_policy(
        "work", 2, expected=read_revision(path, "policies/work/2"), state="retired"
    )


def count_grants(path) -> int:
    calls = json.loads(call(f"{path.fleet.store_url}/control/calls")[2])["calls"]
    return calls["POST leases"]


def read_revision(path, key) -> int:
    return json.loads(call(f"{path.fleet.store_url}/v1/kv/{key}")[2])["revision"]


def test_rate_of_keyed_requests_is_limited(path):
    """Guards the store against more writes than an instance may send."""
    path.add_entries("entry-limited", keyed_requests_per_second=5)
    responses = [publish(path, uuid.uuid4().hex, "entry-limited") for _ in range(12)]
    refused = [response for response in responses if response[0] == 429]
    assert 4 <= len(refused) <= 7
    assert {get_execution(response) for response in refused} == {"not_run"}
    assert refused[0][1]["Retry-After"] == "1"


@pytest.mark.parametrize("key", ["", "k" * 300, "\u00e9"])
def test_malformed_key_is_refused(path, key):
    """Guards against keys that two entries could decode differently."""
    response = publish(path, key.encode().decode("latin-1"), work="malformed")
    assert (response[0], get_execution(response)) == (400, "not_run")
    assert not path.find_runs("malformed")


def test_key_of_an_idempotent_request_costs_the_store_nothing(path):
    """Guards the store against keys of idempotent requests, which need none."""
    before = len(read_keys(path))
    for _ in range(2):
        assert path.call("/work/again", "POST", Idempotency_Key="same")[0] == 200
    assert len(read_keys(path)) == before
