"""End-to-end tests of a request through separate processes."""

import json

from standins.fleet import Fleet, call


def test_request_is_served_under_a_policy():
    """Guards the complete path: store, agent, entry and upstream."""
    with Fleet() as fleet:
        upstream = fleet.add_upstream("cuepublish", 0)
        fleet.add_instance("entry-1")
        fleet.publish_instances()
        fleet.write_policy("cuepublish", 1)
        fleet.wait_ready()
        url = fleet.get_entry_url("entry-1") + "/cuepublish/publish"
        fleet.wait_until(lambda: call(url)[0] == 200)
        status, headers, body = call(url, headers={"X-Work-Id": "work-1"})
        assert status == 200
        assert body.startswith(b"work-1")
        assert "verbenacross" in headers["Via"]
        ran = [entry["work"] for entry in fleet.read_ledger(upstream)["ran"]]
        assert ran.count("work-1") == 1


def test_unknown_service_is_refused_as_not_run():
    """Guards the refusal of a service that no policy serves."""
    with Fleet() as fleet:
        fleet.add_instance("entry-1")
        fleet.wait_ready()
        status, _, body = call(fleet.get_entry_url("entry-1") + "/nothing/x")
        assert status == 404
        assert json.loads(body)["execution"] == "not_run"
