"""Routes permit messages between entries and the coordinators of services."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from ..infrastructure.instance_list import AGENT_SERVICE
from ..protocol.messages import (
    PermitGrant,
    PermitRelease,
    PermitReport,
    PermitRequest,
)
from .permit_coordinator import REBUILD_WAIT_S, EligibleUpstreams, PermitCoordinator

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..peers import PeerNetwork
    from ..protocol.messages import Message
    from ..upstreams import UpstreamDirectory
    from ..upstreams.observation_table import ObservationTable
    from .peer_sender import PeerSender
    from .service_policies import ServicePolicies
    from .shard_ownership import ShardOwnership

GRANT_INTERVAL_S = 0.1
HINT_LIFETIME_S = 3.0

PermitMessage = PermitRequest | PermitRelease | PermitReport


class CoordinatorHint(NamedTuple):
    """A coordinator named by another agent, valid until a monotonic time."""

    instance: str
    expires_at: float


class PermitRelay:
    """Coordinates permits for owned shards and forwards other messages to the owner.

    Messages go to the preferred owner of the shard; if another agent holds the lease,
    the reply names that holder. The holder grants permits only while its lease is
    valid, and only after ``REBUILD_WAIT_S``, in which entries report the permits they
    hold. When the store has been unreachable for longer than the lease time-to-live,
    the preferred owner coordinates without a lease, provided that it sees a majority
    of the agents in the directory: otherwise both sides of a network partition could
    grant the full number of slots.
    """

    def __init__(
        self,
        instance: str,
        network: PeerNetwork,
        sender: PeerSender,
        ownership: ShardOwnership,
        directory: UpstreamDirectory,
        observations: ObservationTable,
        policies: ServicePolicies,
        send_to_entries: Callable[[Message], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._instance = instance
        self._network = network
        self._sender = sender
        self._ownership = ownership
        self._directory = directory
        self._observations = observations
        self._policies = policies
        self._send_to_entries = send_to_entries
        self._clock = clock
        self._coordinators: dict[str, PermitCoordinator] = {}
        self._hints: dict[int, CoordinatorHint] = {}
        ownership.releases.subscribe(self._transfer_permits)

    async def run(self) -> None:
        """Periodically expires and grants permits until cancelled."""
        while True:
            await asyncio.sleep(GRANT_INTERVAL_S)
            for service, coordinator in list(self._coordinators.items()):
                coordinator.expire()
                self._grant(service)

    def handle_entry_message(self, message: PermitMessage) -> None:
        """Handles a local entry's message or forwards it to the coordinator."""
        coordinator = self._find_coordinator(message.service)
        if coordinator == self._instance:
            self._handle_as_coordinator(self._instance, message)
        else:
            self._sender.send(coordinator, message)

    def handle_peer_message(self, sender: str, message: Message) -> None:
        """Handles a permit message of a peer; grants are passed on to the entries."""
        match message:
            case PermitGrant(upstream="", service=service, coordinator=coordinator):
                self._store_hint(service, coordinator)
            case PermitGrant():
                self._send_to_entries(message)
            case PermitRequest() | PermitRelease() | PermitReport():
                self._handle_as_coordinator(sender, message)

    def dump_state(self) -> dict[str, Any]:
        """Returns the permit state of each service that this agent coordinates."""
        return {
            service: {
                **coordinator.dump_state(),
                "granting": self._may_grant(service),
            }
            for service, coordinator in self._coordinators.items()
        }

    def _find_coordinator(self, service: str) -> str:
        shard = self._ownership.find_shard(service)
        if self._ownership.holds(shard):
            return self._instance
        hint = self._hints.get(shard)
        if hint is not None and self._clock() < hint.expires_at:
            return hint.instance
        return self._ownership.get_preferred_owner(shard)

    def _store_hint(self, service: str, coordinator: str) -> None:
        shard = self._ownership.find_shard(service)
        if coordinator and coordinator != self._instance:
            expires_at = self._clock() + HINT_LIFETIME_S
            self._hints[shard] = CoordinatorHint(coordinator, expires_at)

    def _handle_as_coordinator(self, sender: str, message: PermitMessage) -> None:
        coordinator = self._coordinators.get(message.service)
        if coordinator is None:
            coordinator = PermitCoordinator(
                message.service, self._find_eligible, self._clock
            )
            self._coordinators[message.service] = coordinator
        match message:
            case PermitRelease(permit=permit):
                coordinator.release(permit)
            case PermitReport():
                coordinator.record_report(message)
            case PermitRequest():
                self._handle_request(sender, message, coordinator)
        self._redirect(sender, message)
        self._grant(message.service)

    def _handle_request(
        self, sender: str, request: PermitRequest, coordinator: PermitCoordinator
    ) -> None:
        grant = coordinator.add_request(sender, request)
        if grant is not None and self._may_grant(request.service):
            self._send_grant(grant.instance, grant.message)

    def _grant(self, service: str) -> None:
        coordinator = self._coordinators[service]
        if self._may_grant(service):
            for grant in coordinator.grant_pending():
                self._send_grant(grant.instance, grant.message)
        if coordinator.is_idle():
            del self._coordinators[service]

    def _may_grant(self, service: str) -> bool:
        since = self._get_coordinating_since(self._ownership.find_shard(service))
        return since is not None and self._clock() - since >= REBUILD_WAIT_S

    def _get_coordinating_since(self, shard: int) -> float | None:
        held_since = self._ownership.get_held_since(shard)
        if held_since is not None:
            return held_since
        unavailable_at = self._ownership.get_store_unavailable_at()
        if (
            unavailable_at is None
            or self._ownership.get_preferred_owner(shard) != self._instance
        ):
            return None
        return unavailable_at if self._sees_majority() else None

    def _sees_majority(self) -> bool:
        listed = {agent.id for agent in self._directory.get_instances(AGENT_SERVICE)}
        alive = {member.instance for member in self._network.get_live_members()}
        return 2 * len(listed & alive) > len(listed) or listed <= {self._instance}

    def _redirect(self, sender: str, message: PermitMessage) -> None:
        """Names the lease holder to the sender if this agent does not coordinate."""
        shard = self._ownership.find_shard(message.service)
        holder = self._ownership.holders.get(shard, "")
        if self._get_coordinating_since(shard) is not None or not holder:
            return
        if holder == self._instance:
            return
        if sender == self._instance:
            self._store_hint(message.service, holder)
            return
        reply = PermitGrant(
            message.permit, "", 0, service=message.service, coordinator=holder
        )
        self._sender.send(sender, reply)

    def _send_grant(self, instance: str, grant: PermitGrant) -> None:
        if instance == self._instance:
            self._send_to_entries(grant)
        else:
            self._sender.send(instance, grant)

    def _find_eligible(self, service: str) -> EligibleUpstreams:
        slots = self._policies.get_long_slots(service)
        eligible = [
            instance.id
            for instance in self._directory.get_instances(service)
            if instance.state == "live"
            and self._observations.accepts_requests(instance.id)
        ]
        healthy = [key for key in eligible if not self._observations.is_ejected(key)]
        return EligibleUpstreams(healthy or eligible, slots)

    def _transfer_permits(self, shard: int) -> None:
        """Reports the permits of a released shard to its most likely next owner."""
        others = [
            member.instance
            for member in self._network.get_live_members()
            if member.instance != self._instance
        ]
        if not others:
            return
        successor = self._ownership.choose_successor(shard, others)
        for service, coordinator in self._coordinators.items():
            if self._ownership.find_shard(service) != shard:
                continue
            for permit, upstream in coordinator.get_permits().items():
                self._sender.send(successor, PermitReport(permit, service, upstream))
