"""API keys and customers, with real processes."""

from __future__ import annotations

import asyncio
import json

import pytest

from .conftest import HOST, build_configuration, build_rule, wait_until

KEY = "key-of-the-library"
OTHER_KEY = "key-of-the-school"


def build_customers(*keys, **fields) -> list[dict]:
    return [
        {"name": "library", "api_keys": list(keys), "priority": 1} | fields,
        {"name": "school", "api_keys": [OTHER_KEY]},
    ]


def build_document(customers, version=2) -> dict:
    rules = [
        build_rule("/safe/"),
        build_rule("/once/", kind="unsafe"),
        build_rule("/large/", kind="download"),
        build_rule("/open/") | {"public": True},
    ]
    return build_configuration(*rules, version=version) | {"tenants": customers}


async def put_customers(site, *keys, version=2, **fields) -> None:
    document = build_document(build_customers(*keys, **fields), version)
    await site.store.put("op/config", document)
    for node in site.nodes:
        await wait_until(
            lambda node=node: node.find_lines("configuration in force", version=version)
        )


@pytest.fixture
async def customers_site(site):
    await put_customers(site, KEY)
    return site


def find_headers(site, request_id) -> list[dict]:
    return [run.headers for run in site.find_runs(request_id)]


@pytest.mark.parametrize(
    ("path", "method"), [("/safe/x", "GET"), ("/once/x", "POST"), ("/large/x", "GET")]
)
async def test_upstream_gets_the_customer_and_not_the_key(customers_site, path, method):
    node = customers_site.nodes[0]
    headers = {"X-Api-Key": KEY, "X-Tenant-Id": "school"}

    status, _, _ = await node.call(path, method, headers=headers)

    assert status == 200
    [received] = find_headers(customers_site, "r1")
    assert received["x-tenant-id"] == "library"
    assert KEY not in str(received)


async def test_key_is_not_passed_on_by_a_retry(customers_site):
    """The headers of each attempt are built anew."""
    for upstream in customers_site.upstreams:
        upstream.behaviours = ["fail"]

    headers = {"X-Api-Key": KEY}
    status, _, _ = await customers_site.nodes[0].call(headers=headers)

    assert status in (200, 500)
    received = find_headers(customers_site, "r1")
    assert len(received) == 2
    assert [one["x-tenant-id"] for one in received] == ["library"] * 2
    assert KEY not in str(received)


async def test_public_route_needs_no_key_and_passes_none_on(customers_site):
    node = customers_site.nodes[0]
    headers = {"X-Api-Key": KEY, "X-Tenant-Id": "school"}

    assert (await node.call("/open/x", request_id="r1"))[0] == 200
    assert (await node.call("/open/x", request_id="r2", headers=headers))[0] == 200
    [received] = find_headers(customers_site, "r2")
    assert "x-api-key" not in received
    assert "x-tenant-id" not in received


@pytest.mark.parametrize(
    "headers",
    [
        {},
        {"X-Api-Key": "unknown"},
        {"X-Api-Key": ""},
        {"X-Api-Key": f"{KEY} {KEY}"},
        {"X-Api-Key": f"{KEY},{OTHER_KEY}"},
        {"X-Api-Key": KEY.upper()},
        {"X-Api-Key": "\u00e9"},
        {"X-Api-Key": "x" * 60_000},
        {"X-Tenant-Id": "library"},
    ],
    ids=range(9),
)
async def test_request_without_a_valid_key_is_refused(customers_site, headers):
    node = customers_site.nodes[0]

    status, answer_headers, body = await node.call(headers=headers)

    assert status == 401
    assert answer_headers["Content-Type"] == "application/problem+json"
    assert json.loads(body)["problem"] == "unknown-key"
    assert not customers_site.find_runs("r1")


async def test_two_keys_are_refused(customers_site):
    """One of the two might be chosen here and the other one elsewhere."""
    node = customers_site.nodes[0]
    headers = [("Host", HOST), ("X-Api-Key", KEY), ("X-Api-Key", KEY)]

    async with customers_site.session.get(
        f"{node.url}/safe/x", headers=headers
    ) as answer:
        assert answer.status == 401


async def test_changes_of_keys_are_in_force_at_once(customers_site):
    """A key withdrawn, moved to another customer, and a customer without keys."""
    node = customers_site.nodes[0]

    async def call(key, request_id):
        headers = {"X-Api-Key": key}
        return (await node.call(request_id=request_id, headers=headers))[0]

    await put_customers(customers_site, "new-key", version=3)
    assert [await call(KEY, "a"), await call("new-key", "b")] == [401, 200]
    await put_customers(customers_site, version=4)
    assert await call("new-key", "c") == 401
    moved = [
        {"name": "library", "api_keys": []},
        {"name": "school", "api_keys": [OTHER_KEY, KEY]},
    ]
    await customers_site.store.put("op/config", build_document(moved, version=5))
    await wait_until(lambda: node.find_lines("configuration in force", version=5))
    assert await call(KEY, "d") == 200
    [received] = find_headers(customers_site, "d")
    assert received["x-tenant-id"] == "school"


async def test_admitted_request_ends_after_its_key_is_withdrawn(
    customers_site,
):
    """The configuration at the arrival of a request holds until its end."""
    node = customers_site.nodes[0]
    for upstream in customers_site.upstreams:
        upstream.service_time_s = 1.0
    call = asyncio.create_task(node.call(headers={"X-Api-Key": KEY}))
    await wait_until(lambda: customers_site.find_runs("r1"))

    await put_customers(customers_site, version=3)

    assert (await call)[0] == 200


async def test_unknown_key_gets_503_while_the_store_is_away(customers_site):
    """A key that the instance does not know may have been added meanwhile."""
    node = customers_site.nodes[0]
    customers_site.endpoint.fault = "busy"

    async def is_unverified():
        answer = await node.call(headers={"X-Api-Key": "added"})
        return answer[0] == 503 and "Retry-After" in answer[1]

    await wait_until(is_unverified)
    assert (await node.call(headers={"X-Api-Key": KEY}))[0] == 200


async def test_no_key_is_written_to_logs_state_or_metrics(customers_site):
    node = customers_site.nodes[0]
    await node.call(headers={"X-Api-Key": KEY})
    await node.call(headers={"X-Api-Key": "unknown-key-of-a-caller"})

    state = await node.read_state()
    url = f"http://{node.settings['metrics_listen']}/metrics"
    async with customers_site.session.get(url) as response:
        metrics = await response.text()

    for text in (json.dumps(state), metrics, json.dumps(node.lines)):
        assert KEY not in text
        assert OTHER_KEY not in text
        assert "unknown-key-of-a-caller" not in text
    assert 'name="customers"' in metrics


async def test_without_customers_keys_are_ordinary_headers(site):
    """Deployments without customers may use such a header for their own purposes."""
    headers = {"X-Api-Key": KEY, "X-Tenant-Id": "school"}

    assert (await site.nodes[0].call(headers=headers))[0] == 200

    [received] = find_headers(site, "r1")
    assert received["x-api-key"] == KEY
    assert received["x-tenant-id"] == "school"
