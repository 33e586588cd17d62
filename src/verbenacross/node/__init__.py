"""The node program: a proxy that takes its configuration from the platform's store."""
