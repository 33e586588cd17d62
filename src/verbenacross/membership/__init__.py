"""Membership: the table of agents, failure detection and rate-limited gossip."""

from .member_gossip import MemberGossip
from .member_table import MemberTable
from .pause_detector import PauseDetector
from .rendezvous import choose_links, choose_readers

__all__ = [
    "MemberGossip",
    "MemberTable",
    "PauseDetector",
    "choose_links",
    "choose_readers",
]
