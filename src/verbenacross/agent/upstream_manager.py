"""Shared upstream state of the agents and the components that use it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from ..protocol.messages import (
    DirectoryUpdates,
    Observations,
    PermitRelease,
    PermitReport,
    PermitRequest,
)
from ..upstreams.directory_replica import DirectoryReplica
from ..upstreams.observation_reporter import ObservationReporter
from ..upstreams.observation_table import ObservationTable
from ..upstreams.replacement_detector import ReplacementDetector
from .directory_sync import DirectorySync
from .observation_broadcaster import ObservationBroadcaster
from .peer_sender import PeerSender
from .permit_relay import PermitRelay
from .prober import Prober
from .service_policies import ServicePolicies
from .shard_ownership import ShardOwnership

if TYPE_CHECKING:
    from collections.abc import Callable

    from aioprometheus import Registry

    from ..infrastructure.instance_list import InstanceList
    from ..infrastructure.key_value_store import KeyValueStore
    from ..peers import PeerMessage, PeerNetwork
    from ..policy import PolicyTable
    from ..protocol.messages import Message
    from ..settings import AgentSettings
    from ..upstreams import UpstreamDirectory

DRAIN_TIMEOUT_S = 1.0


class UpstreamManager:
    """Runs directory synchronisation, observations, shards, probing and permits."""

    def __init__(
        self,
        settings: AgentSettings,
        network: PeerNetwork,
        store: KeyValueStore,
        instances: InstanceList,
        table: PolicyTable,
        directory: UpstreamDirectory,
        registry: Registry,
        send_to_entries: Callable[[Message], None],
    ) -> None:
        instance = settings.instance
        self.observations = ObservationTable()
        ReplacementDetector(directory, self.observations)
        self._network = network
        self._service_policies = ServicePolicies(table)
        self._peer_sender = PeerSender(network)
        self.directory_sync = DirectorySync(
            settings, network, instances, DirectoryReplica(directory), self._peer_sender
        )
        self._broadcaster = ObservationBroadcaster(
            self.observations, network, send_to_entries
        )
        self.ownership = ShardOwnership(
            instance,
            settings.ownership_shards,
            network,
            store,
            find_services=self._service_policies.get_services,
        )
        self._prober = Prober(
            self.ownership,
            directory,
            self._service_policies,
            ObservationReporter(self.observations, instance),
            registry,
        )
        self._permit_relay = PermitRelay(
            instance,
            network,
            self._peer_sender,
            self.ownership,
            directory,
            self.observations,
            self._service_policies,
            send_to_entries,
        )
        network.messages.subscribe(self._handle_peer_message)

    async def run(self) -> None:
        """Runs all components until cancelled, then releases the shards.

        Queued messages to peers are then sent for up to ``DRAIN_TIMEOUT_S``.
        """
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self.directory_sync.run())
                tasks.create_task(self._broadcaster.run())
                tasks.create_task(self.ownership.run())
                tasks.create_task(self._prober.run())
                tasks.create_task(self._permit_relay.run())
        finally:
            await self.ownership.close()
            await self._peer_sender.drain(DRAIN_TIMEOUT_S)
            self._peer_sender.close()

    def handle_entry_message(self, message: Message) -> bool:
        """Handles a message of an entry; returns ``False`` for an unexpected type."""
        match message:
            case Observations(observations=observations):
                self.observations.merge(observations)
            case PermitRequest() | PermitRelease() | PermitReport():
                self._permit_relay.handle_entry_message(message)
            case _:
                return False
        return True

    def dump_state(self) -> dict[str, Any]:
        """Returns the state of all components as a JSON object."""
        held = self.ownership.get_held()
        return {
            "alive": len(self._network.get_live_members()),
            "observations": self.observations.count_by_kind(),
            "draining": sorted(self.observations.get_draining()),
            "reader": self.directory_sync.is_list_reader(),
            "shards_held": sorted(held),
            "owned_services": [
                service
                for service in self._service_policies.get_services()
                if self.ownership.find_shard(service) in held
            ],
            "probes": self._prober.dump_state(),
            "permits": self._permit_relay.dump_state(),
        }

    def _handle_peer_message(self, received: PeerMessage) -> None:
        match received.message:
            case DirectoryUpdates():
                self.directory_sync.handle_message(received)
            case Observations(observations=observations):
                self.observations.merge(observations)
            case message:
                self._permit_relay.handle_peer_message(received.sender, message)
