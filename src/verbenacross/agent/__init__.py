"""The agent process, the control plane of one instance."""

from .agent import Agent

__all__ = ["Agent"]
