"""In-memory peer network: messages are encoded, queued, and delivered on request."""

from __future__ import annotations

from reactivex.subject import Subject

from verbenacross.peers import PeerMessage
from verbenacross.peers.exceptions import PeerUnreachableError
from verbenacross.protocol import decode_message, encode_message
from verbenacross.protocol.messages import MemberUpdate


class MemoryOverlay:
    def __init__(self, *names: str) -> None:
        self.networks = {name: MemoryNetwork(self, name) for name in names}
        self.queued: list[tuple[str, str, bytes]] = []
        self.total_bytes = 0
        self.largest_message = 0
        self.partitioned: set[str] = set()
        self.alive = list(names)

    def enqueue(self, sender: str, receiver: str, message: object) -> None:
        data = encode_message(message)
        self.total_bytes += len(data)
        self.largest_message = max(self.largest_message, len(data))
        self.queued.append((sender, receiver, data))

    def deliver(self, rounds: int = 20) -> None:
        for _ in range(rounds):
            queued, self.queued = self.queued, []
            for sender, receiver, data in queued:
                if sender in self.partitioned or receiver in self.partitioned:
                    continue
                message = PeerMessage(sender, decode_message(data))
                self.networks[receiver].messages.on_next(message)


class MemoryNetwork:
    def __init__(self, overlay: MemoryOverlay, name: str) -> None:
        self.messages = Subject()
        self.member_changes = Subject()
        self._overlay = overlay
        self._name = name

    def get_live_members(self) -> list[MemberUpdate]:
        return [
            MemberUpdate(name, 1, "127.0.0.1:1", "a", "alive", 0)
            for name in self._overlay.alive
        ]

    def is_isolated(self) -> bool:
        return len(self._overlay.alive) < 2

    def broadcast(self, message: object, received_from: str | None = None) -> None:
        for name in self._overlay.networks:
            if name not in (self._name, received_from):
                self._overlay.enqueue(self._name, name, message)

    async def send(self, instance: str, message: object) -> None:
        if instance not in self._overlay.networks:
            raise PeerUnreachableError(instance)
        self._overlay.enqueue(self._name, instance, message)
