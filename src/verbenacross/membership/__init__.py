"""Table of agents, their liveness and its bounded spread."""
