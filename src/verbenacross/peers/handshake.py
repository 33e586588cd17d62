"""Mutual authentication with the shared key when a peer link opens."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import TYPE_CHECKING, Literal

from ..protocol import ProtocolError, decode_message, encode_message
from ..protocol.messages import PROTOCOL_VERSION, Challenge, Hello

if TYPE_CHECKING:
    from websockets.asyncio.connection import Connection

    from ..protocol.messages import MemberUpdate

NONCE_BYTES = 16
PeerRole = Literal["connect", "accept"]


class Handshake:
    """Authenticates both ends of a peer link.

    Each proof covers every field of the ``Hello`` and the sender's role; the role
    prevents reflecting a proof to the agent that created it. All methods raise
    ``ProtocolError`` when the other end does not know the key.
    """

    def __init__(self, shared_key: str, local: MemberUpdate) -> None:
        self._key = shared_key.encode()
        self._local = local

    async def connect(self, connection: Connection) -> Hello:
        """Runs the connecting side's handshake; returns the other end's ``Hello``."""
        challenge = decode_message(await connection.recv())
        if not isinstance(challenge, Challenge):
            raise ProtocolError(f"expected Challenge, got {type(challenge).__name__}")
        nonce = secrets.token_bytes(NONCE_BYTES)
        await self._send_hello(connection, "connect", challenge.nonce, nonce)
        return await self._receive_hello(connection, "accept", nonce)

    async def accept(self, connection: Connection) -> Hello:
        """Runs the accepting side's handshake; returns the other end's ``Hello``."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        await connection.send(encode_message(Challenge(nonce)))
        hello = await self._receive_hello(connection, "connect", nonce)
        await self._send_hello(connection, "accept", hello.nonce, b"")
        return hello

    async def _send_hello(
        self, connection: Connection, role: PeerRole, challenge: bytes, nonce: bytes
    ) -> None:
        local = self._local
        hello = Hello(
            PROTOCOL_VERSION,
            local.instance,
            local.incarnation,
            local.address,
            local.failure_domain,
            nonce,
            b"",
        )
        proof = build_proof(self._key, role, challenge, hello)
        await connection.send(encode_message(hello._replace(proof=proof)))

    async def _receive_hello(
        self, connection: Connection, role: PeerRole, nonce: bytes
    ) -> Hello:
        hello = decode_message(await connection.recv())
        if not isinstance(hello, Hello):
            raise ProtocolError(f"expected Hello, got {type(hello).__name__}")
        if hello.protocol_version != PROTOCOL_VERSION:
            raise ProtocolError(
                f"unsupported protocol version {hello.protocol_version}, "
                f"expected {PROTOCOL_VERSION}"
            )
        proof = build_proof(self._key, role, nonce, hello)
        if not hmac.compare_digest(proof, hello.proof):
            raise ProtocolError(
                f"invalid proof from {hello.instance!r}: shared keys differ"
            )
        if hello.instance == self._local.instance:
            raise ProtocolError(
                f"peer has the instance id of this agent: {hello.instance!r}"
            )
        return hello


def build_proof(key: bytes, role: PeerRole, challenge: bytes, hello: Hello) -> bytes:
    """Returns the HMAC-SHA256 of the role, the challenge and the unsigned ``Hello``."""
    unsigned = encode_message(hello._replace(proof=b""))
    content = role.encode() + b"\0" + challenge + b"\0" + unsigned
    return hmac.digest(key, content, hashlib.sha256)
