"""Messages between agents and between an agent and its entries.

Times are in milliseconds. Messages between instances carry ages, not clock times.
"""

from __future__ import annotations

from typing import Annotated, Literal, NamedTuple

from pydantic import Field

from ..infrastructure.instance_list import Instance
from ..policy.policy_record import PolicyRecord

PROTOCOL_VERSION = 1
MAX_IDENTIFIER_CHARACTERS = 256

Identifier = Annotated[str, Field(min_length=1, max_length=MAX_IDENTIFIER_CHARACTERS)]
Revision = Annotated[int, Field(ge=0)]
MemberState = Literal["alive", "suspect", "dead", "leaving"]
ObservationKind = Literal["draining", "ejected", "cold", "load"]


class Challenge(NamedTuple):
    """First message of the accepting side of a peer link; opens the handshake."""

    nonce: bytes


class Hello(NamedTuple):
    """First message of the connecting side, and the reply of the accepting side.

    ``proof`` is the HMAC-SHA256 of the sender's role, the other side's nonce and the
    ``Hello`` with an empty ``proof``.
    """

    protocol_version: int
    instance: Identifier
    incarnation: int
    address: Identifier
    failure_domain: Identifier
    nonce: bytes
    proof: bytes


class Heartbeat(NamedTuple):
    """Shows that the sender is alive."""

    sequence: Annotated[int, Field(ge=0)]


class RecordCopies(NamedTuple):
    """Replicated copies of policy records."""

    records: tuple[PolicyRecord, ...]


class TableDigest(NamedTuple):
    """Digest of the sender's whole policy table."""

    digest: bytes


class BucketDigests(NamedTuple):
    """Digest of each bucket of the sender's policy table.

    The receiver replies with its records of the buckets that differ.
    """

    digests: tuple[bytes, ...]


class BucketRequest(NamedTuple):
    """Requests all records of some buckets."""

    buckets: tuple[Annotated[int, Field(ge=0)], ...]


class Watermark(NamedTuple):
    """With all earlier messages, the receiver is complete up to ``revision``.

    ``revision`` is a revision of the store.
    """

    revision: Revision


class SyncComplete(NamedTuple):
    """The sender has sent every copy that the receiver lacked.

    Later copies follow on the same link. ``revision`` is the sender's watermark;
    ``synchronized`` is false when the sender itself is not complete yet.
    """

    synchronized: bool
    revision: Revision


class StoreLoss(NamedTuple):
    """The store lost history: its revision is lower than one known before."""

    revision: Revision


class MemberUpdate(NamedTuple):
    """The state of a member as the sender knows it."""

    instance: Identifier
    incarnation: int
    address: Identifier
    failure_domain: Identifier
    state: MemberState
    in_force: Revision


class MemberUpdates(NamedTuple):
    """State changes of members and refreshes of their ``in_force``."""

    updates: tuple[MemberUpdate, ...]


class DirectoryEntry(NamedTuple):
    """State of one id of the instance list; ``instance`` is ``None`` if removed.

    ``version`` is a Lamport timestamp assigned by the reader ``origin``.
    """

    id: Identifier
    version: Annotated[int, Field(ge=0)]
    origin: str
    instance: Instance | None


class MemberDigest(NamedTuple):
    """Digest of the sender's member table."""

    digest: bytes


class Compressed(NamedTuple):
    """Another message in its encoded form, compressed with zlib."""

    data: bytes


class DirectoryUpdates(NamedTuple):
    """Changes of the platform's instance list: changed instances and removed ids.

    An agent sends ``changed`` and ``removed`` to its entries; a ``complete`` state
    consists of ``parts`` messages. Agents exchange ``entries``. ``digests`` holds one
    digest of the sender's whole directory, or one for each bucket of ids; the reply to
    the latter contains complete ``buckets``.
    """

    version: Annotated[int, Field(ge=0)]
    complete: bool
    changed: tuple[Instance, ...]
    removed: tuple[str, ...]
    part: Annotated[int, Field(ge=0)] = 0
    parts: Annotated[int, Field(ge=1)] = 1
    entries: tuple[DirectoryEntry, ...] = ()
    digests: tuple[Annotated[int, Field(ge=0)], ...] = ()
    buckets: tuple[Annotated[int, Field(ge=0)], ...] = ()


class Observation(NamedTuple):
    """State of an upstream observed ``age_ms`` ago, valid for ``lifetime_ms``.

    ``value`` is the number of requests in flight for ``load``, otherwise 0.
    """

    upstream: Identifier
    origin: Identifier
    kind: ObservationKind
    age_ms: Annotated[int, Field(ge=0)]
    lifetime_ms: Annotated[int, Field(ge=0, le=60_000)]
    value: int = 0


class Observations(NamedTuple):
    """Observations of upstreams."""

    observations: tuple[Observation, ...]


class EntryHello(NamedTuple):
    """First message of an entry to the agent of its instance."""

    protocol_version: int
    entry: Identifier


class AppliedWatermark(NamedTuple):
    """The entry has applied all policies up to this store revision."""

    revision: Revision


class PermitRequest(NamedTuple):
    """Requests a slot for long work on an upstream of a service.

    An entry repeats the message with a higher ``sequence`` until it is granted; the
    receiver discards it ``wait_ms`` after the last repetition.
    """

    permit: Identifier
    service: Identifier
    wait_ms: Annotated[int, Field(ge=0)]
    excluded: tuple[Identifier, ...] = ()
    sequence: Annotated[int, Field(ge=0)] = 0


class PermitGrant(NamedTuple):
    """Grants a slot for long work on an upstream; empty ``upstream`` means refused.

    ``sequence`` is that of the last repetition of the request received before the
    grant, so the lifetime began after that repetition was sent. A refusal may name the
    agent that coordinates the ``service``.
    """

    permit: Identifier
    upstream: str
    lifetime_ms: Annotated[int, Field(ge=0)]
    sequence: Annotated[int, Field(ge=0)] = 0
    service: str = ""
    coordinator: str = ""


class PermitRelease(NamedTuple):
    """Releases a slot for long work."""

    permit: Identifier
    service: Identifier


class PermitReport(NamedTuple):
    """Renews a permit, or reports a running request that became long."""

    permit: Identifier
    service: Identifier
    upstream: Identifier


Message = (
    Challenge
    | Hello
    | Heartbeat
    | RecordCopies
    | TableDigest
    | BucketDigests
    | BucketRequest
    | Watermark
    | SyncComplete
    | StoreLoss
    | MemberUpdates
    | MemberDigest
    | Compressed
    | DirectoryUpdates
    | Observations
    | EntryHello
    | AppliedWatermark
    | PermitRequest
    | PermitGrant
    | PermitRelease
    | PermitReport
)
