"""Overlay network of peer links; implements ``PeerNetwork``."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any

import logbook
from reactivex.subject import Subject
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import WebSocketException

from ..membership import MemberGossip, MemberTable, PauseDetector, choose_links
from ..membership.member_table import LIVE_STATES
from ..membership.rendezvous import RING_LINKS
from ..protocol import ProtocolError, encode_compressed
from ..protocol.codec import MAX_MESSAGE_BYTES
from ..protocol.messages import (
    DirectoryUpdates,
    Heartbeat,
    MemberDigest,
    MemberUpdate,
    MemberUpdates,
    Observations,
    PermitGrant,
    PermitRelease,
    PermitReport,
    PermitRequest,
)
from ..settings import Address
from .exceptions import PeerUnreachableError
from .handshake import Handshake
from .peer_link import PeerLink
from .peer_network import PeerMessage
from .record_exchange import RecordExchange

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from contextlib import AsyncExitStack

    from websockets.asyncio.connection import Connection
    from websockets.asyncio.server import ServerConnection

    from ..policy import TableProgress
    from ..protocol.messages import Hello, Message
    from ..settings import AgentSettings

TICK_S = 0.1
HEARTBEAT_INTERVAL_S = 0.5
HEARTBEATS_PER_DIGEST = 10
LIVENESS_TIMEOUT_S = 1.5
RECONNECT_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 1.0
MIN_RECONNECT_DELAY_S = 0.1
MAX_RECONNECT_DELAY_S = 0.3
OVERLAY_INTERVAL_S = 0.3
DISCOVERY_INTERVAL_S = 5.0
DISCOVERY_CONNECTIONS = 3
IDLE_LINK_TIMEOUT_S = 30.0
MAX_DIRECT_LINKS = 64
FLUSH_TIMEOUT_S = 0.5
IN_FORCE_REFRESH_INTERVAL_S = 30.0
MS_PER_S = 1_000

logger = logbook.Logger("verbenacross.peers.agent_network")


class AgentNetwork:
    """Maintains links to other agents, detects failures, and replicates state.

    Policy records are replicated by ``records``, membership by ``gossip``. ``pauses``
    emits when this process did not run for more than a second, so that leases and
    permits can be dropped.
    """

    def __init__(self, settings: AgentSettings, progress: TableProgress) -> None:
        self._settings = settings
        address = str(settings.peer_address)
        started_ms = int(time.time() * MS_PER_S)
        self.members = MemberTable(
            MemberUpdate(
                settings.instance,
                started_ms,
                address,
                settings.failure_domain,
                "alive",
                0,
            )
        )
        self.gossip = MemberGossip(self.members, settings.membership_bytes_per_second)
        self.records = RecordExchange(progress)
        self.messages: Subject[PeerMessage] = Subject()
        self.member_changes: Subject[MemberUpdate] = self.members.state_changes
        self.pauses: Subject[float] = Subject()
        self.ring_links = RING_LINKS
        self._overlay_peers: set[str] = set()
        self._overlay_version = -1
        self._progress = progress
        self.links: dict[str, list[PeerLink]] = {}
        self._candidates: set[str] = {str(seed) for seed in settings.seeds}
        self._reconnecting: set[str] = set()
        self._unreachable_since: dict[str, float] = {}
        self._outgoing_tasks: dict[str, asyncio.Task[None]] = {}
        self._link_opened: dict[str, asyncio.Event] = {}
        self._last_received_at = time.monotonic() - LIVENESS_TIMEOUT_S
        self._announced_in_force = (0, 0.0)
        self._closed_received_bytes = 0
        self._closed_sent_bytes = 0
        self.members.state_changes.subscribe(self._log_state_change)

    async def open(self, stack: AsyncExitStack) -> None:
        """Accepts peers and maintains the overlay until the stack closes."""
        listen = self._settings.peer_listen
        server = serve(
            self._accept,
            listen.host,
            listen.port,
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
            ping_interval=None,
            open_timeout=CONNECT_TIMEOUT_S,
            close_timeout=FLUSH_TIMEOUT_S,
        )
        await stack.enter_async_context(server)
        task = asyncio.create_task(self._run_periodic_tasks())
        stack.push_async_callback(self._shut_down, task)

    def set_candidates(self, addresses: Iterable[str]) -> None:
        """Sets the addresses, besides the seeds, at which to look for agents."""
        self._candidates = {*addresses, *map(str, self._settings.seeds)}
        self._candidates.discard(self.members.local.address)

    def has_candidates(self) -> bool:
        """Returns whether any address of another agent is known."""
        return bool(self._candidates)

    def get_live_members(self) -> Sequence[MemberUpdate]:
        """Returns the alive and suspect members, including the local one."""
        return self.members.get_live_members()

    def is_isolated(self) -> bool:
        """Returns whether no peer sent anything within the liveness timeout."""
        received_at = [link.last_received_at for link in self.get_links()]
        latest = max([self._last_received_at, *received_at])
        return time.monotonic() - latest >= LIVENESS_TIMEOUT_S

    def has_received_since(self, moment: float) -> bool:
        """Returns whether a peer sent anything after a time of the monotonic clock."""
        return any(link.last_received_at > moment for link in self.get_links())

    def broadcast(self, message: Message, received_from: str | None = None) -> None:
        """Queues a message for all peers but ``received_from``, without waiting."""
        frame = encode_compressed(message)
        for instance, links in self.links.items():
            if instance != received_from and links:
                links[-1].send_frame(frame)

    async def send(self, instance: str, message: Message) -> None:
        """Queues a message for one member, opening a direct link if there is none.

        Raises ``PeerUnreachableError`` when no link to it is open in time.
        """
        link = self._find_link(instance) or await self._open_direct_link(instance)
        link.last_used_at = time.monotonic()
        link.send(message)
        if link.is_closed:
            raise PeerUnreachableError(
                f"link to {instance!r} closed before the message was sent"
            )

    def report_in_force(self, revision: int) -> None:
        """Announces to the members which store revision this instance has in force.

        A revision that no record is waiting for is announced at most once per
        ``IN_FORCE_REFRESH_INTERVAL_S``.
        """
        announced, announced_at = self._announced_in_force
        now = time.monotonic()
        is_awaited = announced < self._progress.table.highest_revision
        if revision > announced and (
            is_awaited or now - announced_at > IN_FORCE_REFRESH_INTERVAL_S
        ):
            self._announced_in_force = (revision, now)
            self.members.update_local(self.members.local.state, revision)

    async def leave(self) -> None:
        """Announces that this agent is leaving and waits until the links are flushed.

        Waits at most ``FLUSH_TIMEOUT_S``.
        """
        local = self.members.local
        self.members.update_local("leaving", local.in_force)
        frame = encode_compressed(MemberUpdates((self.members.local,)))
        for link in self.get_links():
            link.send_frame(frame)
        deadline = time.monotonic() + FLUSH_TIMEOUT_S
        while time.monotonic() < deadline:
            if all(link.is_flushed() for link in self.get_links()):
                return
            await asyncio.sleep(TICK_S / 4)

    def get_byte_counts(self) -> dict[str, int]:
        """Returns the bytes of messages received and sent since the start."""
        links = list(self.get_links())
        received = sum(link.received_bytes for link in links)
        sent = sum(link.sent_bytes for link in links)
        return {
            "received": self._closed_received_bytes + received,
            "sent": self._closed_sent_bytes + sent,
            "membership_sent": self.gossip.sent_bytes,
        }

    async def _shut_down(self, task: asyncio.Task[None]) -> None:
        outgoing_tasks = list(self._outgoing_tasks.values())
        for running in (task, *outgoing_tasks):
            running.cancel()
        await asyncio.gather(task, *outgoing_tasks, return_exceptions=True)
        await asyncio.gather(*(link.close() for link in self.get_links()))

    async def _run_periodic_tasks(self) -> None:
        now = time.monotonic()
        detector = PauseDetector(TICK_S, now)
        next_overlay = next_heartbeat = next_discovery = now
        while True:
            last, now = now, time.monotonic()
            if detector.check(now):
                self._recover_from_pause(now)
            self._abort_silent_links(now)
            if now >= next_heartbeat:
                next_heartbeat = now + HEARTBEAT_INTERVAL_S
                self._send_heartbeats()
            is_overlay_due = now >= next_overlay
            if is_overlay_due:
                next_overlay = now + OVERLAY_INTERVAL_S
                self._maintain_overlay(now)
            if now >= next_discovery or (is_overlay_due and not self.links):
                next_discovery = now + random.uniform(0.5, 1.5) * DISCOVERY_INTERVAL_S
                self._discover_peers()
            self._suspect_unreachable(now)
            self.members.expire(now)
            self.records.send_due_digests(now)
            self.gossip.send_queued(now - last)
            await asyncio.sleep(TICK_S)

    def _recover_from_pause(self, now: float) -> None:
        # After a pause every peer appears silent, so restart all failure timeouts.
        logger.warning("this process was paused; restarting failure timeouts")
        for link in self.get_links():
            link.last_received_at = now
        for instance in self._unreachable_since:
            self._unreachable_since[instance] = now
        self.members.restart_suspicion_timers(now)
        self.pauses.on_next(now)

    def _abort_silent_links(self, now: float) -> None:
        for link in self.get_links():
            if now - link.last_received_at >= LIVENESS_TIMEOUT_S:
                logger.info(
                    "peer link timed out; closing it", extra={"peer": link.peer}
                )
                link.abort()

    def _send_heartbeats(self) -> None:
        digest = MemberDigest(self.members.build_digest())
        for link in self.get_links():
            link.sent_heartbeats += 1
            link.send(Heartbeat(link.sent_heartbeats))
            if link.sent_heartbeats % HEARTBEATS_PER_DIGEST == 1:
                link.send(digest)

    def _maintain_overlay(self, now: float) -> None:
        members = self.members.members
        if self._overlay_version != self.members.version:
            self._overlay_version = self.members.version
            self._overlay_peers = choose_links(
                self._settings.instance,
                [member.instance for member in self.get_live_members()],
                self._settings.peer_links,
                self.ring_links,
            )
        overlay_peers = self._overlay_peers
        self._reconnecting = {
            instance
            for instance in self._reconnecting
            if instance in members and members[instance].state in LIVE_STATES
        }
        for instance in overlay_peers | self._reconnecting:
            if self._find_link(instance) is None:
                self._start_connecting(members[instance].address, instance)
        for instance in overlay_peers & self.links.keys():
            for link in self.links[instance]:
                link.last_used_at = now
        for link in self.get_links():
            if link.is_outgoing and now - link.last_used_at > IDLE_LINK_TIMEOUT_S:
                link.schedule_close()

    def _discover_peers(self) -> None:
        """Connects to random addresses of unknown agents and of dead members.

        This finds the first peers, and rejoins both sides after a network partition.
        """
        known = {member.address for member in self.get_live_members()}
        dead = {
            member.address
            for member in self.members.members.values()
            if member.state == "dead"
        }
        unknown = list((self._candidates | dead) - known)
        count = 1 if self.links else DISCOVERY_CONNECTIONS
        for address in random.sample(unknown, min(count, len(unknown))):
            self._start_connecting(address, None)

    def _start_connecting(self, address: str, instance: str | None) -> None:
        if address not in self._outgoing_tasks:
            task = asyncio.create_task(self._connect_and_serve(address, instance))
            self._outgoing_tasks[address] = task
            task.add_done_callback(lambda _: self._outgoing_tasks.pop(address, None))

    async def _connect_and_serve(self, address: str, instance: str | None) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection, hello = await self._open_connection(address)
        except (OSError, WebSocketException, ProtocolError, TimeoutError) as error:
            logger.debug("cannot connect to peer at {}: {!r}", address, error)
            if instance is not None:
                self._start_reconnecting(instance)
                await asyncio.sleep(
                    random.uniform(MIN_RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S)
                )
            return
        try:
            await self._serve_link(connection, hello, is_outgoing=True)
        finally:
            connection.transport.abort()

    async def _open_connection(self, address: str) -> tuple[Connection, Hello]:
        connection = await connect(
            f"ws://{address}",
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
            ping_interval=None,
            close_timeout=FLUSH_TIMEOUT_S,
            proxy=None,
        )
        handshake = Handshake(self._settings.shared_key, self.members.local)
        try:
            return connection, await handshake.connect(connection)
        except BaseException:
            connection.transport.abort()
            raise

    async def _accept(self, connection: ServerConnection) -> None:
        handshake = Handshake(self._settings.shared_key, self.members.local)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                hello = await handshake.accept(connection)
        except (WebSocketException, ProtocolError, TimeoutError) as error:
            logger.warning("rejected peer connection: {!r}", error)
            return
        await self._serve_link(connection, hello, is_outgoing=False)

    async def _serve_link(
        self, connection: Connection, hello: Hello, *, is_outgoing: bool
    ) -> None:
        link = PeerLink(connection, hello, is_outgoing)
        self._add_link(link)
        try:
            await link.run(self._handle_message)
        finally:
            self._remove_link(link)

    def _add_link(self, link: PeerLink) -> None:
        for older in self.links.get(link.peer, []):
            if older.is_outgoing == link.is_outgoing:
                older.abort()
        self.links.setdefault(link.peer, []).append(link)
        self._unreachable_since.pop(link.peer, None)
        self._reconnecting.discard(link.peer)
        hello = link.hello
        peer = MemberUpdate(
            link.peer,
            hello.incarnation,
            hello.address,
            hello.failure_domain,
            "alive",
            0,
        )
        self.members.merge(peer, time.monotonic())
        self.gossip.add_link(link)
        # Tells the peer its recorded state, so that it can refute suspect or dead.
        self.gossip.queue(link, link.peer)
        self.records.add_link(link)
        opened = self._link_opened.pop(link.peer, None)
        if opened is not None:
            opened.set()

    def _remove_link(self, link: PeerLink) -> None:
        self.gossip.remove_link(link)
        self.records.remove_link(link)
        self._last_received_at = max(self._last_received_at, link.last_received_at)
        self._closed_received_bytes += link.received_bytes
        self._closed_sent_bytes += link.sent_bytes
        links = self.links.get(link.peer, [])
        links.remove(link)
        if links:
            return
        del self.links[link.peer]
        member = self.members.members.get(link.peer)
        if member is not None and member.state == "alive" and not link.closed_normally:
            # Every agent that lost a link tries to reconnect, so that several agents
            # monitor each member.
            self._start_reconnecting(link.peer)

    def _start_reconnecting(self, instance: str) -> None:
        """Schedules reconnects to a member until one succeeds or it is not live."""
        self._unreachable_since.setdefault(instance, time.monotonic())
        self._reconnecting.add(instance)

    def _suspect_unreachable(self, now: float) -> None:
        for instance, since in list(self._unreachable_since.items()):
            if now - since < RECONNECT_TIMEOUT_S:
                continue
            if self.members.suspect(instance, now):
                logger.warning(
                    "member is unreachable; marked suspect", extra={"peer": instance}
                )
            member = self.members.members.get(instance)
            if member is None or member.state in ("dead", "leaving"):
                del self._unreachable_since[instance]

    def _handle_message(self, link: PeerLink, message: Message) -> None:
        now = time.monotonic()
        match message:
            case Heartbeat():
                return
            case MemberUpdates(updates=updates):
                validate_addresses(updates)
                self.gossip.receive(link, updates, now)
            case MemberDigest(digest=digest):
                if digest != self.members.build_digest():
                    self.gossip.queue_all(link)
            case (
                Observations()
                | DirectoryUpdates()
                | PermitRequest()
                | PermitGrant()
                | PermitRelease()
                | PermitReport()
            ):
                self.messages.on_next(PeerMessage(link.peer, message))
            case _ if not self.records.handle(link, message):
                raise ProtocolError(
                    f"unexpected message {type(message).__name__} on a peer link"
                )

    async def _open_direct_link(self, instance: str) -> PeerLink:
        member = self.members.members.get(instance)
        if member is None or member.state == "dead":
            raise PeerUnreachableError(f"{instance!r} is not a live member")
        self._close_surplus_links()
        opened = self._link_opened.setdefault(instance, asyncio.Event())
        self._start_connecting(member.address, instance)
        try:
            await asyncio.wait_for(opened.wait(), CONNECT_TIMEOUT_S)
        except TimeoutError:
            raise PeerUnreachableError(
                f"link to {instance!r} not open within {CONNECT_TIMEOUT_S} s"
            ) from None
        link = self._find_link(instance)
        if link is None:
            raise PeerUnreachableError(f"link to {instance!r} closed after it opened")
        return link

    def _close_surplus_links(self) -> None:
        outgoing = [link for link in self.get_links() if link.is_outgoing]
        outgoing.sort(key=lambda link: link.last_used_at)
        surplus = len(outgoing) - MAX_DIRECT_LINKS - self._settings.peer_links
        for link in outgoing[: max(0, surplus)]:
            link.schedule_close()

    def _find_link(self, instance: str) -> PeerLink | None:
        for link in reversed(self.links.get(instance, [])):
            if not link.is_closed:
                return link
        return None

    def get_links(self) -> list[PeerLink]:
        """Returns the open links."""
        return [link for links in self.links.values() for link in links]

    def _log_state_change(self, member: MemberUpdate) -> None:
        logger.info(
            "member state is {}",
            member.state,
            extra={"peer": member.instance, "incarnation": member.incarnation},
        )

    def dump(self) -> dict[str, Any]:
        """Returns the links, the isolation and the byte counts as a JSON object."""
        return {
            "links": {
                instance: [link.is_synchronized for link in links]
                for instance, links in self.links.items()
            },
            "isolated": self.is_isolated(),
            "bytes": self.get_byte_counts(),
        }


def validate_addresses(updates: Iterable[MemberUpdate]) -> None:
    """Raises ``ProtocolError`` for a member whose address is invalid."""
    for update in updates:
        try:
            Address.from_text(update.address)
        except ValueError as error:
            raise ProtocolError(
                f"invalid address of member {update.instance!r}: {error}"
            ) from error
