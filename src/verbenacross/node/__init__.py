"""The node program: entry and control in one process, for a platform with a store."""
