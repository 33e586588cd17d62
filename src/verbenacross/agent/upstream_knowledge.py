"""What the agents know together about upstreams, and what follows from it."""

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
from .observation_spreader import ObservationSpreader
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

CLOSE_TIMEOUT_S = 1.0


class UpstreamKnowledge:
    """Directory, observations, shard ownership, probing and permits of an agent."""

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
        self._policies = ServicePolicies(table)
        self._sender = PeerSender(network)
        self.sync = DirectorySync(
            settings, network, instances, DirectoryReplica(directory), self._sender
        )
        self._spreader = ObservationSpreader(
            self.observations, network, send_to_entries
        )
        self.ownership = ShardOwnership(
            instance,
            settings.ownership_shards,
            network,
            store,
            find_services=self._policies.get_services,
        )
        self._prober = Prober(
            self.ownership,
            directory,
            self._policies,
            ObservationReporter(self.observations, instance),
            registry,
        )
        self._relay = PermitRelay(
            instance,
            network,
            self._sender,
            self.ownership,
            directory,
            self.observations,
            self._policies,
            send_to_entries,
        )
        network.messages.subscribe(self._take_from_peer)

    async def run(self) -> None:
        """Runs all parts until cancelled, then releases the shards."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self.sync.run())
                tasks.create_task(self._spreader.run())
                tasks.create_task(self.ownership.run())
                tasks.create_task(self._prober.run())
                tasks.create_task(self._relay.run())
        finally:
            await self.ownership.close()
            await self._sender.drain(CLOSE_TIMEOUT_S)
            self._sender.close()

    def take_from_entry(self, message: Message) -> bool:
        """Takes a message of an entry; returns whether it was one of these parts."""
        match message:
            case Observations(observations=observations):
                self.observations.merge(observations)
            case PermitRequest() | PermitRelease() | PermitReport():
                self._relay.take_from_entry(message)
            case _:
                return False
        return True

    def dump_state(self) -> dict[str, Any]:
        """Returns the state of all parts as a JSON object."""
        held = self.ownership.get_held()
        return {
            "alive": len(self._network.get_alive()),
            "observations": self.observations.count_by_kind(),
            "draining": sorted(self.observations.get_draining()),
            "reader": self.sync.is_reader(),
            "shards_held": sorted(held),
            "owned_services": [
                service
                for service in self._policies.get_services()
                if self.ownership.find_shard(service) in held
            ],
            "probes": self._prober.dump_state(),
            "permits": self._relay.dump_state(),
        }

    def _take_from_peer(self, received: PeerMessage) -> None:
        match received.message:
            case DirectoryUpdates():
                self.sync.take(received)
            case Observations(observations=observations):
                self.observations.merge(observations)
            case message:
                self._relay.take_from_peer(received.sender, message)
