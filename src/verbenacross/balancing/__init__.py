"""Assigns requests to upstreams; queues or refuses those that none can accept."""
