"""In-memory overlay: every message is encoded, held, and delivered on request."""

from __future__ import annotations

from reactivex.subject import Subject

from verbenacross.peers import PeerMessage
from verbenacross.peers.exceptions import PeerUnreachableError
from verbenacross.protocol import decode_message, encode_message
from verbenacross.protocol.messages import MemberUpdate


class MemoryOverlay:
    def __init__(self, *names: str) -> None:
        self.networks = {name: MemoryNetwork(self, name) for name in names}
        self.held: list[tuple[str, str, bytes]] = []
        self.bytes = 0
        self.largest = 0
        self.cut: set[str] = set()
        self.alive = list(names)

    def put(self, sender: str, receiver: str, message: object) -> None:
        data = encode_message(message)
        self.bytes += len(data)
        self.largest = max(self.largest, len(data))
        self.held.append((sender, receiver, data))

    def deliver(self, rounds: int = 20) -> None:
        for _ in range(rounds):
            held, self.held = self.held, []
            for sender, receiver, data in held:
                if sender in self.cut or receiver in self.cut:
                    continue
                message = PeerMessage(sender, decode_message(data))
                self.networks[receiver].messages.on_next(message)


class MemoryNetwork:
    def __init__(self, overlay: MemoryOverlay, name: str) -> None:
        self.messages = Subject()
        self.member_changes = Subject()
        self._overlay = overlay
        self._name = name

    def get_alive(self) -> list[MemberUpdate]:
        return [
            MemberUpdate(name, 1, "127.0.0.1:1", "a", "alive", 0)
            for name in self._overlay.alive
        ]

    def is_isolated(self) -> bool:
        return len(self._overlay.alive) < 2

    def broadcast(self, message: object, received_from: str | None = None) -> None:
        for name in self._overlay.networks:
            if name not in (self._name, received_from):
                self._overlay.put(self._name, name, message)

    async def send(self, instance: str, message: object) -> None:
        if instance not in self._overlay.networks:
            raise PeerUnreachableError(instance)
        self._overlay.put(self._name, instance, message)
