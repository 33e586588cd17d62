"""Peer links in one process: handshake, replication, limits, direct messages."""

import asyncio
import json
import random
import time
import zlib
from contextlib import AsyncExitStack, asynccontextmanager

import cbor2
import pytest
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from standins.fleet import HOST, find_free_ports
from verbenacross.peers import AgentNetwork, PeerUnreachableError
from verbenacross.peers.handshake import Handshake
from verbenacross.peers.peer_link import MAX_QUEUED_BYTES
from verbenacross.policy import PolicyRecord, PolicyTable, TableProgress
from verbenacross.protocol import ProtocolError, decode_message, encode_message
from verbenacross.protocol.codec import MAX_MESSAGE_BYTES
from verbenacross.protocol.messages import (
    Compressed,
    EntryHello,
    MemberUpdate,
    MemberUpdates,
    PermitRelease,
    RecordCopies,
)
from verbenacross.settings import Address, AgentSettings

KEY = "a key of at least sixteen characters"
LARGE_BODY_BYTES = 900_000


def build_record(version, revision, body=None):
    policy = {"schema_version": 1, "service": "layerhouse", "version": version}
    key = f"policies/layerhouse/{version}"
    return PolicyRecord(key, revision, body or json.dumps(policy).encode())


def build_large_records(count):
    generator = random.Random(1)
    return [
        build_record(number, number, generator.randbytes(LARGE_BODY_BYTES))
        for number in range(1, count + 1)
    ]


@asynccontextmanager
async def run_networks(*keys):
    """Runs one network per shared key; the first one is the seed of the others."""
    ports = find_free_ports(len(keys))
    addresses = [Address(HOST, port) for port in ports]
    async with AsyncExitStack() as stack:
        networks = []
        for index, key in enumerate(keys):
            settings = AgentSettings(
                f"agent-{index}",
                "a",
                addresses[index],
                addresses[index],
                addresses[index],
                "http://127.0.0.1:1",
                "http://127.0.0.1:1",
                key,
                seeds=tuple(addresses[:index][:1]),
            )
            network = AgentNetwork(settings, TableProgress(PolicyTable()))
            await network.open(stack)
            networks.append(network)
        yield networks


async def wait_until(condition, timeout_s=5.0):
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, f"condition not met within {timeout_s} s"
        await asyncio.sleep(0.02)


def get_progress(network):
    return network.records._progress


@asynccontextmanager
async def connect_raw_peer(network, key=KEY):
    """Completes the handshake as a peer and yields the connection to the test."""
    member = MemberUpdate("raw", 1, "127.0.0.1:1", "a", "alive", 0)
    address = network.members.local.address
    async with connect(
        f"ws://{address}", compression=None, close_timeout=0.2
    ) as connection:
        await Handshake(key, member).connect(connection)
        yield connection


async def test_peers_become_complete_and_stay_so():
    """Guards against peers that stay incomplete after they connect or after a change.

    New peers synchronize the table on connecting; later records and watermarks are sent
    immediately, and a watermark arrives after the records that it covers.
    """
    async with run_networks(KEY, KEY, KEY) as networks:
        first = get_progress(networks[0])
        first.table.put_all(build_record(number, number) for number in range(1, 301))
        await wait_until(lambda: all(len(n.get_live_members()) == 3 for n in networks))
        assert not get_progress(networks[1]).synchronized
        first.advance_to(500)
        await wait_until(
            lambda: all(get_progress(n).watermark == 500 for n in networks)
        )
        digests = {
            get_progress(network).table.digests.build_table_digest()
            for network in networks
        }
        assert len(digests) == 1
        started = time.monotonic()
        first.table.put(build_record(7, 501))
        first.advance_to(501)
        last = get_progress(networks[2])
        await wait_until(lambda: last.watermark == 501)
        assert last.table.latest["policies/layerhouse/7"].revision == 501
        assert time.monotonic() - started < 3.0


async def test_peer_from_long_ago_takes_the_deletion():
    """Guards against a deleted record that a long-absent peer reintroduces."""
    async with run_networks(KEY, KEY) as networks:
        present, absent = (get_progress(network) for network in networks)
        absent.table.put(build_record(1, 30))
        present.advance_to(60)
        key = "policies/layerhouse/1"
        await wait_until(lambda: key in present.table.policies)
        assert present.table.policies[key].state == "retired"
        await wait_until(lambda: absent.table.policies[key].state == "retired")


async def test_table_larger_than_the_queue_is_synchronized():
    """Guards against a table larger than the send queue that aborts every link."""
    async with run_networks(KEY, KEY) as networks:
        first, second = (get_progress(network) for network in networks)
        first.table.put_all(build_large_records(12))
        first.advance_to(500)
        await wait_until(lambda: second.watermark == 500)
        assert len(second.table.latest) == 12


async def test_peer_that_takes_nothing_is_disconnected():
    """Guards against unbounded memory for a peer that stopped reading."""
    async with run_networks(KEY) as [network], connect_raw_peer(network) as connection:
        await wait_until(lambda: "raw" in network.links)
        link = network.links["raw"][0]
        connection.transport.pause_reading()
        for record in build_large_records(16):
            link.send(RecordCopies((record,)))
        assert link.is_closed
        assert link._queued_bytes <= MAX_QUEUED_BYTES + LARGE_BODY_BYTES
        assert not link._queue


async def test_unknown_key_is_refused():
    """Guards against accepting a peer that does not know the shared key."""
    async with run_networks(KEY, KEY + "!") as networks:
        with pytest.raises((ProtocolError, ConnectionClosed)):
            async with connect_raw_peer(networks[0], KEY + "?"):
                pass
        await asyncio.sleep(0.5)
        assert all(len(network.get_live_members()) == 1 for network in networks)


BAD_FRAMES = {
    "no CBOR": b"\xff\xff",
    "unknown type": cbor2.dumps(["Surprise", []]),
    "wrong fields": cbor2.dumps(["RecordCopies", [[["policies/a/1", "x", 3]]]]),
    "negative revision": encode_message(RecordCopies((build_record(9, -1),))),
    "entry message": encode_message(EntryHello(1, "entry")),
    "oversized": b"\0" * (MAX_MESSAGE_BYTES + 1),
    "damaged": encode_message(Compressed(b"not zlib")),
    "zip bomb": encode_message(Compressed(zlib.compress(b"\0" * 2**28))),
    "bad address": encode_message(
        MemberUpdates((MemberUpdate("x", 1, "no address", "a", "alive", 0),))
    ),
    "truncated": encode_message(RecordCopies((build_record(9, 9),)))[:-1],
}


@pytest.mark.parametrize("name", BAD_FRAMES)
async def test_bad_message_closes_the_link_and_changes_nothing(name):
    """Guards against malformed, oversized or unexpected messages from a peer."""
    async with run_networks(KEY) as [network], connect_raw_peer(network) as connection:
        await wait_until(lambda: "raw" in network.links)
        with pytest.raises(ConnectionClosed):
            await connection.send(BAD_FRAMES[name])
            while True:
                await asyncio.wait_for(connection.recv(), 1.0)
        assert not get_progress(network).table.latest
        assert "x" not in network.members.members


async def test_direct_message_opens_a_link():
    """Guards against a failing ``send`` to a live member that has no link.

    An unknown member raises ``PeerUnreachableError``.
    """
    async with run_networks(KEY, KEY) as networks:
        received = []
        networks[0].messages.subscribe(received.append)
        await wait_until(lambda: all(len(n.get_live_members()) == 2 for n in networks))
        networks[1].get_links()[0].abort()
        await networks[1].send("agent-0", PermitRelease("permit", "layerhouse"))
        await wait_until(lambda: received)
        assert received[0].sender == "agent-1"
        assert received[0].message.permit == "permit"
        with pytest.raises(PeerUnreachableError):
            await networks[1].send("nobody", PermitRelease("permit", "layerhouse"))


async def test_isolation_and_pause_are_told():
    """Guards against a process that suspects all peers after it was paused.

    Also checks ``is_isolated`` with and without a peer.
    """
    async with run_networks(KEY, KEY) as networks:
        await wait_until(lambda: all(len(n.get_live_members()) == 2 for n in networks))
        assert not networks[0].is_isolated()
        pauses = []
        networks[0].pauses.subscribe(pauses.append)
        # Blocks the event loop, which simulates a stopped process.
        time.sleep(2.0)
        await wait_until(lambda: pauses)
        assert [m.state for m in networks[0].get_live_members()] == ["alive", "alive"]
    async with run_networks(KEY) as [network]:
        assert network.is_isolated()


def test_decompression_is_bounded():
    """Guards against a small message that decompresses to hundreds of megabytes."""
    with pytest.raises(ProtocolError, match="compressed data"):
        decode_message(BAD_FRAMES["zip bomb"])
