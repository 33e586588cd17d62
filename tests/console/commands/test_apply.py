"""``apply`` as a real process against a store that is down, slow or loses answers."""

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
    """Guards against success without a record, and against needless writes."""
    path = operator.write_policy_file("plain", 1)
    first = operator.run("apply", path, "--json")
    assert first.code == 0
    assert read_record(fleet, "policies/plain/1")[0]["service"] == "plain"
    writes = count_writes(fleet)
    second = operator.run("apply", path, "--json")
    assert (second.code, second.data["written"]) == (0, False)
    assert second.data["revision"] == first.data["revision"]
    assert count_writes(fleet) == writes


def test_lost_answer_is_read_back(operator, fleet):
    """Guards against reporting an accepted write as failed or as a lost race."""
    fleet.set_store_faults(lose_answers=1)
    ran = operator.run("apply", operator.write_policy_file("lost", 1), "--json")
    assert ran.code == 0, ran
    assert read_record(fleet, "policies/lost/1") is not None
    fleet.set_store_faults(lose_answers=3)
    changed = operator.write_policy_file("lost", 1, limits={"queue_size": 7})
    ran = operator.run("apply", changed, "--json")
    assert ran.code == 0, ran
    assert read_record(fleet, "policies/lost/1")[0]["limits"] == {"queue_size": 7}


def test_store_that_is_down_before_the_write_is_unreachable(operator, fleet):
    """Guards against "unknown" when certainly nothing was sent."""
    fleet.set_store_faults(down=True)
    ran = operator.run("apply", operator.write_policy_file("down", 1))
    assert ran.code == 6
    assert "store unreachable, nothing was written" in ran.err


def test_store_that_goes_down_during_the_write_is_unknown(operator, fleet):
    """Guards against "failed" while the write may have taken effect."""
    writes = count_writes(fleet)
    fleet.set_store_faults(delay_ms=400)
    process = operator.start("apply", operator.write_policy_file("gone", 1))
    fleet.wait_until(lambda: count_writes(fleet) > writes)
    fleet.set_store_faults(down=True)
    ran = finish(process)
    assert ran.code == 7, ran
    assert "unknown" in ran.err
    assert "failed" not in ran.err.lower()


def test_slow_store_is_waited_for(operator, fleet):
    """Guards against giving up on a store that is slow but within the timeout."""
    fleet.set_store_faults(delay_ms=500)
    assert operator.run("apply", operator.write_policy_file("slow", 1)).code == 0


def test_one_of_two_racing_operators_wins(operator, fleet):
    """Guards against a lost update, and against a lost race without revisions."""
    base = operator.run("apply", operator.write_policy_file("race", 1), "--json")
    writes = count_writes(fleet)
    fleet.set_store_faults(delay_ms=700)
    files = [
        operator.write_policy_file("race", 1, limits={"queue_size": size})
        for size in (10, 20)
    ]
    ran = [finish(p) for p in [operator.start("apply", f, "--json") for f in files]]
    assert sorted(result.code for result in ran) == [0, 3], ran
    assert count_writes(fleet) == writes + 2
    winner, loser = sorted(ran, key=lambda result: result.code)
    assert loser.data["expected_revision"] == base.data["revision"]
    assert loser.data["current_revision"] == winner.data["revision"]
    stored = read_record(fleet, "policies/race/1")[0]
    assert stored["limits"]["queue_size"] == (10, 20)[ran.index(winner)]


def test_expected_revision_that_has_passed_is_a_conflict(operator):
    """Guards ``--expect`` against overwriting what the operator has not seen."""
    path = operator.write_policy_file("expect", 1)
    revision = operator.run("apply", path, "--expect", 0, "--json").data["revision"]
    changed = operator.write_policy_file("expect", 1, callers={"names": ["a"]})
    ran = operator.run("apply", changed, "--expect", 0)
    assert ran.code == 3
    assert f"expected revision 0, current revision {revision}" in ran.err


def write_raw(fleet, key, value, expected):
    body = {"value": value, "expected_revision": expected}
    status, _, answer = call(f"{fleet.store_url}/v1/kv/{key}", "PUT", body)
    assert status == 200
    return json.loads(answer)["revision"]


@pytest.mark.parametrize("later", ["nothing", "invalid", "active", "deleted"])
def test_retired_version_is_not_written_again(operator, fleet, later):
    """Guards the finality of ``retired``, also when the key no longer shows it."""
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
    ran = operator.run("apply", path)
    assert ran.code == 4, ran
    assert f"retired at revision {revision}" in ran.err


def test_record_that_the_store_lost_can_be_written_again(operator, fleet):
    """Guards against taking a saved active copy for a retirement."""
    record = {"schema_version": 1, "service": "back", "version": 1}
    copy = {"revision": 3, "record": json.dumps(record)}
    write_raw(fleet, "valid/back/1", json.dumps(copy), 0)
    assert operator.run("apply", operator.write_policy_file("back", 1)).code == 0


def test_file_above_the_size_of_a_value_is_invalid(operator, fleet):
    """Guards the store against calls that it must refuse."""
    padding = " " * 1_048_570
    path = operator.directory / "large.json"
    path.write_text('{"schema_version":1,"service":"large","version":1}' + padding)
    ran = operator.run("apply", str(path))
    assert ran.code == 2
    assert "too large" in ran.err
    assert read_record(fleet, "policies/large/1") is None
