"""Distributes the store's records: few instances read the store, others subscribe."""
