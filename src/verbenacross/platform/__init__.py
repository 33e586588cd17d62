"""Narrow adapters to the platform: key-value store, instance list, upstream signals."""

from .exceptions import StoreConflictError, StoreError, StoreUnavailableError
from .http_instance_list import HttpInstanceList
from .http_key_value_store import HttpKeyValueStore
from .instance_list import Instance, InstanceList
from .key_value_store import KeyValueStore, StoredValue, StoreSnapshot

__all__ = [
    "HttpInstanceList",
    "HttpKeyValueStore",
    "Instance",
    "InstanceList",
    "KeyValueStore",
    "StoreConflictError",
    "StoreError",
    "StoreSnapshot",
    "StoreUnavailableError",
    "StoredValue",
]
