"""The agent process: control of one instance."""

from .agent import Agent

__all__ = ["Agent"]
