"""Overlay network between agents: links, broadcast and direct messages."""

from .agent_network import AgentNetwork
from .exceptions import PeerUnreachableError
from .peer_network import PeerMessage, PeerNetwork

__all__ = ["AgentNetwork", "PeerMessage", "PeerNetwork", "PeerUnreachableError"]
