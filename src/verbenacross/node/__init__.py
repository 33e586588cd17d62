"""The node program: a proxy that reads its configuration from the platform's store."""
