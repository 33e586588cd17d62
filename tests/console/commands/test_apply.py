"""``apply`` as a real process against a store that is down, slow or loses responses."""

import json

import pytest

from standins.fleet import call

from ..operator import finish

pytestmark = pytest.mark.xdist_group("console-apply")


def count_writes(fleet):
    _, _, body = call(f"{fleet.store_url}/control/calls")
    return json.loads(body)["calls"].get("PUT kv", 0)


def read_record(fleet, key):
    status, _, body = call(f"{fleet.store_url}/v1/kv/{key}")
    return (json.loads(json.loads(body)["value"]), status) if status == 200 else None


def test_record_is_in_the_store_and_a_second_apply_writes_nothing(operator, fleet):
    """Guards against success without a stored record, and against redundant writes."""
    path = operator.write_policy_file("plain", 1)
    first = operator.run("apply", path, "--json")
    assert first.exit_code == 0
    assert read_record(fleet, "policies/plain/1")[0]["service"] == "plain"
    writes = count_writes(fleet)
    second = operator.run("apply", path, "--json")
    assert (second.exit_code, second.data["written"]) == (0, False)
    assert second.data["revision"] == first.data["revision"]
    assert count_writes(fleet) == writes


def test_lost_answer_is_read_back(operator, fleet):
    """Guards against reporting an accepted write as failed or as a conflict."""
    fleet.set_store_faults(lose_answers=1)
    completed = operator.run("apply", operator.write_policy_file("lost", 1), "--json")
    assert completed.exit_code == 0, completed
    assert read_record(fleet, "policies/lost/1") is not None
    fleet.set_store_faults(lose_answers=3)
    changed = operator.write_policy_file("lost", 1, limits={"queue_size": 7})
    completed = operator.run("apply", changed, "--json")
    assert completed.exit_code == 0, completed
    assert read_record(fleet, "policies/lost/1")[0]["limits"] == {"queue_size": 7}


def test_store_that_is_down_before_the_write_is_unreachable(operator, fleet):
    """Guards against reporting "unknown" although no write was sent."""
    fleet.set_store_faults(down=True)
    completed = operator.run("apply", operator.write_policy_file("down", 1))
    assert completed.exit_code == 6
    assert "store unreachable, nothing was written" in completed.stderr


def test_store_that_goes_down_during_the_write_is_unknown(operator, fleet):
    """Guards against reporting "failed" although the write may have taken effect."""
    writes = count_writes(fleet)
    fleet.set_store_faults(delay_ms=400)
    process = operator.start("apply", operator.write_policy_file("gone", 1))
    fleet.wait_until(lambda: count_writes(fleet) > writes)
    fleet.set_store_faults(down=True)
    completed = finish(process)
    assert completed.exit_code == 7, completed
    assert "unknown" in completed.stderr
    assert "failed" not in completed.stderr.lower()


def test_slow_store_is_waited_for(operator, fleet):
    """Guards against failing on a store that is slow but within the timeout."""
    fleet.set_store_faults(delay_ms=500)
    assert operator.run("apply", operator.write_policy_file("slow", 1)).exit_code == 0


def test_one_of_two_racing_operators_wins(operator, fleet):
    """Guards against lost updates, and against conflicts reported without revisions."""
    base = operator.run("apply", operator.write_policy_file("race", 1), "--json")
    writes = count_writes(fleet)
    fleet.set_store_faults(delay_ms=700)
    files = [
        operator.write_policy_file("race", 1, limits={"queue_size": size})
        for size in (10, 20)
    ]
    completed = [
        finish(p) for p in [operator.start("apply", f, "--json") for f in files]
    ]
    assert sorted(result.exit_code for result in completed) == [0, 3], completed
    assert count_writes(fleet) == writes + 2
    winner, loser = sorted(completed, key=lambda result: result.exit_code)
    assert loser.data["expected_revision"] == base.data["revision"]
    assert loser.data["current_revision"] == winner.data["revision"]
    stored = read_record(fleet, "policies/race/1")[0]
    assert stored["limits"]["queue_size"] == (10, 20)[completed.index(winner)]


def test_expected_revision_that_has_passed_is_a_conflict(operator):
    """Guards ``--expect`` against overwriting a revision the operator has not seen."""
    path = operator.write_policy_file("expect", 1)
    revision = operator.run("apply", path, "--expect", 0, "--json").data["revision"]
    changed = operator.write_policy_file("expect", 1, callers={"names": ["a"]})
    completed = operator.run("apply", changed, "--expect", 0)
    assert completed.exit_code == 3
    assert f"expected revision 0, current revision {revision}" in completed.stderr


def write_raw(fleet, key, value, expected):
    body = {"value": value, "expected_revision": expected}
    status, _, response = call(f"{fleet.store_url}/v1/kv/{key}", "PUT", body)
    assert status == 200
    return json.loads(response)["revision"]


@pytest.mark.parametrize("later", ["nothing", "invalid", "active", "deleted"])
def test_retired_version_is_not_written_again(operator, fleet, later):
    """Guards against writing a retired version again, also if its key hides this.

    The key may have been overwritten with an invalid or active record, or been
    deleted; the copy under ``valid/`` still shows the retirement.
    """
    path = operator.write_policy_file(later, 1, callers={"names": ["a"]})
    key = f"policies/{later}/1"
    revision = operator.run("apply", path, "--json").data["revision"]
    if later == "deleted":
        url = f"{fleet.store_url}/v1/kv/{key}?expected_revision={revision}"
        assert call(url, "DELETE")[0] == 200
        saved = ""
    else:
        revision = operator.run("retire", later, 1, "--json").data["revision"]
        saved = json.dumps(read_record(fleet, key)[0])
    if later in ("invalid", "active"):
        record = {"schema_version": 1, "service": later, "version": 1}
        write_raw(fleet, key, json.dumps(record if later == "active" else 1), revision)
    if later != "nothing":
        copy = json.dumps({"revision": revision, "record": saved})
        write_raw(fleet, f"valid/{later}/1", copy, 0)
    completed = operator.run("apply", path)
    assert completed.exit_code == 4, completed
    assert f"retired at revision {revision}" in completed.stderr


def test_record_that_the_store_lost_can_be_written_again(operator, fleet):
    """Guards against treating an active copy under ``valid/`` as a retirement."""
    record = {"schema_version": 1, "service": "back", "version": 1}
    copy = {"revision": 3, "record": json.dumps(record)}
    write_raw(fleet, "valid/back/1", json.dumps(copy), 0)
    assert operator.run("apply", operator.write_policy_file("back", 1)).exit_code == 0


def test_file_above_the_size_of_a_value_is_invalid(operator, fleet):
    """Guards against sending values that exceed the size limit of the store."""
    padding = " " * 1_048_570
    path = operator.directory / "large.json"
    path.write_text('{"schema_version":1,"service":"large","version":1}' + padding)
    completed = operator.run("apply", str(path))
    assert completed.exit_code == 2
    assert "too large" in completed.stderr
    assert read_record(fleet, "policies/large/1") is None
