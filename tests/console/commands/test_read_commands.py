"""``validate``, ``list``, ``show``, ``diff``, ``retire`` as real processes."""

import pytest

pytestmark = pytest.mark.xdist_group("console-read")


def test_validate_reports_every_finding_of_every_file(operator):
    """Guards against reporting only the first finding or the first file."""
    bad = operator.directory / "bad.json"
    bad.write_text('{"schema_version": 9, "service": "a", "version": 1, "zz": 1}')
    completed = operator.run(
        "validate", bad, operator.directory / "none", operator.write_policy_file("a", 1)
    )
    assert completed.exit_code == 2
    for part in ("$.schema_version", "$.zz", "none: $: the file cannot be read"):
        assert part in completed.stderr
    assert "valid, key policies/a/1" in completed.stderr
    assert operator.run("validate", operator.write_policy_file("a", 1)).exit_code == 0


def test_versions_are_listed_shown_compared_and_retired(operator):
    """Guards the output of the commands for several versions of a policy."""
    for version in (2, 10):
        parts = {"callers": {"names": [f"c{version}"], "default": version == 2}}
        path = operator.write_policy_file("tour", version, **parts)
        assert operator.run("apply", path).exit_code == 0
    rows = [line.split() for line in operator.run("list", "tour").stdout.splitlines()]
    assert [row[:3] for row in rows[1:]] == [
        ["tour", "2", "active"],
        ["tour", "10", "active"],
    ]
    shown = operator.run("show", "tour", 10, "--effective", "--json").data
    assert shown["record"]["limits"]["queue_size"] == 512
    assert operator.run("show", "tour", 3).exit_code == 5
    changes = operator.run("diff", "tour/2", "tour/10", "--json")
    assert changes.exit_code == 1
    assert {change["path"] for change in changes.data["changes"]} == {
        "$.version",
        "$.callers.names[0]",
        "$.callers.default",
    }
    assert operator.run("diff", path).exit_code == 0
    assert operator.run("retire", "tour", 2).exit_code == 0
    assert operator.run("retire", "tour", 2, "--json").data["written"] is False
    assert operator.run("show", "tour", 2, "--json").data["state"] == "retired"
    assert operator.run("retire", "tour", 77).exit_code == 5
