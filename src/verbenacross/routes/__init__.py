"""Routes from hosts and paths to services."""
