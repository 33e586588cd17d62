"""Overlay of peer links; implements ``PeerNetwork``."""

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
DIGEST_HEARTBEATS = 10
SILENCE_TIMEOUT_S = 1.5
REPLACE_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 1.0
MIN_REDIAL_S = 0.1
MAX_REDIAL_S = 0.3
OVERLAY_INTERVAL_S = 0.3
SEARCH_INTERVAL_S = 5.0
SEARCH_DIALS = 3
IDLE_LINK_S = 30.0
MAX_DIRECT_LINKS = 64
FLUSH_TIMEOUT_S = 0.5
IN_FORCE_REFRESH_S = 30.0
MS_PER_S = 1_000

logger = logbook.Logger("verbenacross.peers.agent_network")


class AgentNetwork:
    """Links to other agents, their liveness, and the spread of records and members.

    ``pauses`` emits when this process did not run for more than a second, so that
    leases and permits can be dropped.
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
        self._chosen: set[str] = set()
        self._chosen_version = -1
        self._progress = progress
        self.links: dict[str, list[PeerLink]] = {}
        self._candidates: set[str] = {str(seed) for seed in settings.seeds}
        self._watched: set[str] = set()
        self._failing_since: dict[str, float] = {}
        self._dials: dict[str, asyncio.Task[None]] = {}
        self._link_waiters: dict[str, asyncio.Event] = {}
        self._last_heard = time.monotonic() - SILENCE_TIMEOUT_S
        self._reported_in_force = (0, 0.0)
        self._closed_received_bytes = 0
        self._closed_sent_bytes = 0
        self.members.state_changes.subscribe(self._log_change)

    async def open(self, stack: AsyncExitStack) -> None:
        """Accepts peers and keeps the overlay until the stack closes."""
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
        task = asyncio.create_task(self._run())
        stack.push_async_callback(self._close, task)

    def set_candidates(self, addresses: Iterable[str]) -> None:
        """Names addresses at which agents may be found, besides the seeds."""
        self._candidates = {*addresses, *map(str, self._settings.seeds)}
        self._candidates.discard(self.members.local.address)

    def has_candidates(self) -> bool:
        """Returns whether another agent may exist."""
        return bool(self._candidates)

    def get_live_members(self) -> Sequence[MemberUpdate]:
        """Returns the live members, this instance included."""
        return self.members.get_live_members()

    def is_isolated(self) -> bool:
        """Returns whether no peer has been heard within the liveness timeout."""
        heard = [link.last_heard for link in self.get_links()]
        latest = max([self._last_heard, *heard])
        return time.monotonic() - latest >= SILENCE_TIMEOUT_S

    def has_received_since(self, moment: float) -> bool:
        """Returns whether a peer was heard after a moment of the monotonic clock."""
        return any(link.last_heard > moment for link in self.get_links())

    def broadcast(self, message: Message, received_from: str | None = None) -> None:
        """Sends a message on each link but the one it came from; never waits."""
        frame = encode_compressed(message)
        for instance, links in self.links.items():
            if instance != received_from and links:
                links[-1].send_frame(frame)

    async def send(self, instance: str, message: Message) -> None:
        """Sends a message to one member, on a direct link that is opened if needed.

        Raises ``PeerUnreachableError`` when it cannot be sent.
        """
        link = self._find_link(instance) or await self._open_direct_link(instance)
        link.last_direct_use = time.monotonic()
        link.send(message)
        if link.is_closed:
            raise PeerUnreachableError(f"link to {instance!r} closed")

    def report_in_force(self, revision: int) -> None:
        """Tells the members which store revision this instance has in force.

        Revisions that no record waits for are told only now and then.
        """
        reported, when = self._reported_in_force
        now = time.monotonic()
        is_awaited = reported < self._progress.table.highest_revision
        if revision > reported and (is_awaited or now - when > IN_FORCE_REFRESH_S):
            self._reported_in_force = (revision, now)
            self.members.update_local(self.members.local.state, revision)

    async def leave(self) -> None:
        """Announces that this agent stops and waits until the peers were told."""
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

    async def _close(self, task: asyncio.Task[None]) -> None:
        dials = list(self._dials.values())
        for running in (task, *dials):
            running.cancel()
        await asyncio.gather(task, *dials, return_exceptions=True)
        await asyncio.gather(*(link.close() for link in self.get_links()))

    async def _run(self) -> None:
        now = time.monotonic()
        detector = PauseDetector(TICK_S, now)
        next_overlay = next_heartbeat = next_search = now
        while True:
            last, now = now, time.monotonic()
            if detector.check(now):
                self._recover_from_pause(now)
            self._drop_silent_links(now)
            if now >= next_heartbeat:
                next_heartbeat = now + HEARTBEAT_INTERVAL_S
                self._send_heartbeats()
            is_overlay_due = now >= next_overlay
            if is_overlay_due:
                next_overlay = now + OVERLAY_INTERVAL_S
                self._maintain_overlay(now)
            if now >= next_search or (is_overlay_due and not self.links):
                next_search = now + random.uniform(0.5, 1.5) * SEARCH_INTERVAL_S
                self._search()
            self._suspect_unreachable(now)
            self.members.expire(now)
            self.records.compare_due(now)
            self.gossip.send_due(now - last)
            await asyncio.sleep(TICK_S)

    def _recover_from_pause(self, now: float) -> None:
        # Everything looks silent to a process that did not run, so the peers get
        # their full time again.
        logger.warning("this process was paused")
        for link in self.get_links():
            link.last_heard = now
        for instance in self._failing_since:
            self._failing_since[instance] = now
        self.members.restart_suspicion_timers(now)
        self.pauses.on_next(now)

    def _drop_silent_links(self, now: float) -> None:
        for link in self.get_links():
            if now - link.last_heard >= SILENCE_TIMEOUT_S:
                logger.info("peer link is silent", extra={"peer": link.peer})
                link.abort()

    def _send_heartbeats(self) -> None:
        digest = MemberDigest(self.members.build_digest())
        for link in self.get_links():
            link.heartbeats += 1
            link.send(Heartbeat(link.heartbeats))
            if link.heartbeats % DIGEST_HEARTBEATS == 1:
                link.send(digest)

    def _maintain_overlay(self, now: float) -> None:
        members = self.members.members
        if self._chosen_version != self.members.version:
            self._chosen_version = self.members.version
            self._chosen = choose_links(
                self._settings.instance,
                [member.instance for member in self.get_live_members()],
                self._settings.peer_links,
                self.ring_links,
            )
        chosen = self._chosen
        self._watched = {
            instance
            for instance in self._watched
            if instance in members and members[instance].state in LIVE_STATES
        }
        for instance in chosen | self._watched:
            if self._find_link(instance) is None:
                self._dial(members[instance].address, instance)
        for instance in chosen & self.links.keys():
            for link in self.links[instance]:
                link.last_direct_use = now
        for link in self.get_links():
            if link.is_outgoing and now - link.last_direct_use > IDLE_LINK_S:
                link.schedule_close()

    def _search(self) -> None:
        """Tries addresses of agents that are unknown or thought dead.

        This finds the first peers, and brings both sides of a healed cut together.
        """
        known = {member.address for member in self.get_live_members()}
        dead = {
            member.address
            for member in self.members.members.values()
            if member.state == "dead"
        }
        unknown = list((self._candidates | dead) - known)
        count = 1 if self.links else SEARCH_DIALS
        for address in random.sample(unknown, min(count, len(unknown))):
            self._dial(address, None)

    def _dial(self, address: str, instance: str | None) -> None:
        if address not in self._dials:
            task = asyncio.create_task(self._connect(address, instance))
            self._dials[address] = task
            task.add_done_callback(lambda _: self._dials.pop(address, None))

    async def _connect(self, address: str, instance: str | None) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection, hello = await self._open_connection(address)
        except (OSError, WebSocketException, ProtocolError, TimeoutError) as error:
            logger.debug("peer at {} not reached: {!r}", address, error)
            if instance is not None:
                self._watch(instance)
                await asyncio.sleep(random.uniform(MIN_REDIAL_S, MAX_REDIAL_S))
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
            logger.warning("peer refused: {!r}", error)
            return
        await self._serve_link(connection, hello, is_outgoing=False)

    async def _serve_link(
        self, connection: Connection, hello: Hello, *, is_outgoing: bool
    ) -> None:
        link = PeerLink(connection, hello, is_outgoing)
        self._add_link(link)
        try:
            await link.run(self._handle)
        finally:
            self._remove_link(link)

    def _add_link(self, link: PeerLink) -> None:
        for older in self.links.get(link.peer, []):
            if older.is_outgoing == link.is_outgoing:
                older.abort()
        self.links.setdefault(link.peer, []).append(link)
        self._failing_since.pop(link.peer, None)
        self._watched.discard(link.peer)
        hello = link.hello
        seen = MemberUpdate(
            link.peer,
            hello.incarnation,
            hello.address,
            hello.failure_domain,
            "alive",
            0,
        )
        self.members.merge(seen, time.monotonic())
        self.gossip.add_link(link)
        # A peer that is thought suspect or dead learns of it and refutes.
        self.gossip.queue(link, link.peer)
        self.records.add_link(link)
        waiter = self._link_waiters.pop(link.peer, None)
        if waiter is not None:
            waiter.set()

    def _remove_link(self, link: PeerLink) -> None:
        self.gossip.remove_link(link)
        self.records.remove_link(link)
        self._last_heard = max(self._last_heard, link.last_heard)
        self._closed_received_bytes += link.received_bytes
        self._closed_sent_bytes += link.sent_bytes
        links = self.links.get(link.peer, [])
        links.remove(link)
        if links:
            return
        del self.links[link.peer]
        member = self.members.members.get(link.peer)
        if member is not None and member.state == "alive" and not link.ended_quietly:
            # Whoever lost a link checks the member, so that several watch each.
            self._watch(link.peer)

    def _watch(self, instance: str) -> None:
        """Tries to reach a member until that succeeds or it is dead."""
        self._failing_since.setdefault(instance, time.monotonic())
        self._watched.add(instance)

    def _suspect_unreachable(self, now: float) -> None:
        for instance, since in list(self._failing_since.items()):
            if now - since < REPLACE_TIMEOUT_S:
                continue
            if self.members.suspect(instance, now):
                logger.warning("member is unreachable", extra={"peer": instance})
            member = self.members.members.get(instance)
            if member is None or member.state in ("dead", "leaving"):
                del self._failing_since[instance]

    def _handle(self, link: PeerLink, message: Message) -> None:
        now = time.monotonic()
        match message:
            case Heartbeat():
                return
            case MemberUpdates(updates=updates):
                check_addresses(updates)
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
                raise ProtocolError(f"unexpected {type(message).__name__}")

    async def _open_direct_link(self, instance: str) -> PeerLink:
        member = self.members.members.get(instance)
        if member is None or member.state == "dead":
            raise PeerUnreachableError(f"{instance!r} is not a live member")
        self._close_idle_direct_links()
        waiter = self._link_waiters.setdefault(instance, asyncio.Event())
        self._dial(member.address, instance)
        try:
            await asyncio.wait_for(waiter.wait(), CONNECT_TIMEOUT_S)
        except TimeoutError:
            raise PeerUnreachableError(f"no link to {instance!r} in time") from None
        link = self._find_link(instance)
        if link is None:
            raise PeerUnreachableError(f"link to {instance!r} closed")
        return link

    def _close_idle_direct_links(self) -> None:
        outgoing = [link for link in self.get_links() if link.is_outgoing]
        outgoing.sort(key=lambda link: link.last_direct_use)
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

    def _log_change(self, member: MemberUpdate) -> None:
        logger.info(
            "member is {}",
            member.state,
            extra={"peer": member.instance, "incarnation": member.incarnation},
        )

    def dump(self) -> dict[str, Any]:
        """Returns links and members as a JSON object."""
        return {
            "links": {
                instance: [link.is_synchronized for link in links]
                for instance, links in self.links.items()
            },
            "isolated": self.is_isolated(),
            "bytes": self.get_byte_counts(),
        }


def check_addresses(updates: Iterable[MemberUpdate]) -> None:
    """Raises ``ProtocolError`` for a member whose address cannot be used."""
    for update in updates:
        try:
            Address.from_text(update.address)
        except ValueError as error:
            raise ProtocolError(f"member {update.instance!r}: {error}") from error
