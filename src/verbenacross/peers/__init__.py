"""Overlay between agents: links, broadcast and direct messages."""

from .peer_network import PeerMessage, PeerNetwork

__all__ = ["PeerMessage", "PeerNetwork"]
