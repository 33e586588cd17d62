"""Carries permit messages between entries and the coordinators of services."""

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
from .permit_coordinator import REBUILD_WAIT_S, Candidates, PermitCoordinator

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


class Hint(NamedTuple):
    """The coordinator that another agent named, until a monotonic time."""

    instance: str
    ends_at: float


class PermitRelay:
    """Coordinates services whose shards this agent owns, and asks others for the rest.

    The first agent in rendezvous order is asked; if another holds the lease, its answer
    names the holder. The owner grants only while its lease is valid, and only after
    ``REBUILD_WAIT_S``, in which entries report the permits they hold. When the store
    has been unreachable for longer than a lease, the first agent coordinates without
    one, provided that it sees most of the agents in the directory: the two sides of a
    cut must not both give out the whole share.
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
        self._hints: dict[int, Hint] = {}
        ownership.releases.subscribe(self._hand_over)

    async def run(self) -> None:
        """Expires and grants permits until cancelled."""
        while True:
            await asyncio.sleep(GRANT_INTERVAL_S)
            for service, coordinator in list(self._coordinators.items()):
                coordinator.expire()
                self._grant(service)

    def take_from_entry(self, message: PermitMessage) -> None:
        """Takes a message of an entry of this instance."""
        coordinator = self._find_coordinator(message.service)
        if coordinator == self._instance:
            self._coordinate(self._instance, message)
        else:
            self._sender.send(coordinator, message)

    def take_from_peer(self, sender: str, message: Message) -> None:
        """Takes a permit message of a peer."""
        match message:
            case PermitGrant(upstream="", service=service, coordinator=coordinator):
                self._take_hint(service, coordinator)
            case PermitGrant():
                self._send_to_entries(message)
            case PermitRequest() | PermitRelease() | PermitReport():
                self._coordinate(sender, message)

    def dump_state(self) -> dict[str, Any]:
        """Returns the state of each service with permits."""
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
        if hint is not None and self._clock() < hint.ends_at:
            return hint.instance
        return self._ownership.find_first(shard)

    def _take_hint(self, service: str, coordinator: str) -> None:
        shard = self._ownership.find_shard(service)
        if coordinator and coordinator != self._instance:
            ends_at = self._clock() + HINT_LIFETIME_S
            self._hints[shard] = Hint(coordinator, ends_at)

    def _coordinate(self, sender: str, message: PermitMessage) -> None:
        coordinator = self._coordinators.get(message.service)
        if coordinator is None:
            coordinator = PermitCoordinator(
                message.service, self._find_candidates, self._clock
            )
            self._coordinators[message.service] = coordinator
        match message:
            case PermitRelease(permit=permit):
                coordinator.release(permit)
            case PermitReport():
                coordinator.report(message)
            case PermitRequest():
                self._take_request(sender, message, coordinator)
        self._redirect(sender, message)
        self._grant(message.service)

    def _take_request(
        self, sender: str, request: PermitRequest, coordinator: PermitCoordinator
    ) -> None:
        grant = coordinator.request(sender, request)
        if grant is not None and self._may_grant(request.service):
            self._deliver(grant.instance, grant.message)

    def _grant(self, service: str) -> None:
        coordinator = self._coordinators[service]
        if self._may_grant(service):
            for grant in coordinator.grant_waiting():
                self._deliver(grant.instance, grant.message)
        if coordinator.is_idle():
            del self._coordinators[service]

    def _may_grant(self, service: str) -> bool:
        since = self._get_coordinating_since(self._ownership.find_shard(service))
        return since is not None and self._clock() - since >= REBUILD_WAIT_S

    def _get_coordinating_since(self, shard: int) -> float | None:
        held_since = self._ownership.get_held_since(shard)
        if held_since is not None:
            return held_since
        lost_at = self._ownership.get_store_lost_at()
        if lost_at is None or self._ownership.find_first(shard) != self._instance:
            return None
        return lost_at if self._sees_most_agents() else None

    def _sees_most_agents(self) -> bool:
        listed = {agent.id for agent in self._directory.get_instances(AGENT_SERVICE)}
        alive = {member.instance for member in self._network.get_alive()}
        return 2 * len(listed & alive) > len(listed) or listed <= {self._instance}

    def _redirect(self, sender: str, message: PermitMessage) -> None:
        shard = self._ownership.find_shard(message.service)
        holder = self._ownership.holders.get(shard, "")
        if self._get_coordinating_since(shard) is not None or not holder:
            return
        if holder == self._instance:
            return
        if sender == self._instance:
            self._take_hint(message.service, holder)
            return
        answer = PermitGrant(
            message.permit, "", 0, service=message.service, coordinator=holder
        )
        self._sender.send(sender, answer)

    def _deliver(self, instance: str, grant: PermitGrant) -> None:
        if instance == self._instance:
            self._send_to_entries(grant)
        else:
            self._sender.send(instance, grant)

    def _find_candidates(self, service: str) -> Candidates:
        slots = self._policies.get_long_slots(service)
        able = [
            instance.id
            for instance in self._directory.get_instances(service)
            if instance.state == "live" and self._observations.accepts_work(instance.id)
        ]
        healthy = [key for key in able if not self._observations.is_ejected(key)]
        return Candidates(healthy or able, slots)

    def _hand_over(self, shard: int) -> None:
        """Tells the agent that is likely to own a shard next what is held."""
        others = [
            member.instance
            for member in self._network.get_alive()
            if member.instance != self._instance
        ]
        if not others:
            return
        successor = self._ownership.find_successor(shard, others)
        for service, coordinator in self._coordinators.items():
            if self._ownership.find_shard(service) != shard:
                continue
            for permit, upstream in coordinator.get_permits().items():
                self._sender.send(successor, PermitReport(permit, service, upstream))
