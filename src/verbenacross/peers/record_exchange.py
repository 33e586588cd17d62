"""Replicates policy records over peer links."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, NamedTuple

from ..policy.copy_digests import BUCKET_COUNT
from ..protocol import ProtocolError, encode_compressed, encode_message
from ..protocol.batches import batch_records
from ..protocol.messages import (
    BucketDigests,
    RecordCopies,
    StoreLoss,
    SyncComplete,
    TableDigest,
    Watermark,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ..policy import PolicyRecord, TableProgress
    from ..protocol.messages import Message
    from .peer_link import PeerLink

DIGEST_INTERVAL_S = 5.0
DIGEST_JITTER_S = 1.0
REQUEST_TIMEOUT_S = 3.0


class PendingRecord(NamedTuple):
    """A copy to send, and the link it was received on, if any, which is skipped."""

    record: PolicyRecord
    source: PeerLink | None


class RecordExchange:
    """Keeps the policy tables at both ends of each link equal.

    New copies are sent immediately. When a link opens, and periodically afterwards,
    both ends compare digests and exchange the buckets that differ. A link preserves
    order, so once an end has received the records it lacked, the other end's watermark
    holds for it as well.
    """

    def __init__(self, progress: TableProgress) -> None:
        self._progress = progress
        self._table = progress.table
        self._links: set[PeerLink] = set()
        self._pending: list[PendingRecord] = []
        self._requested_link: PeerLink | None = None
        self._request_deadline = 0.0
        self._deferred_digests: dict[PeerLink, bytes] = {}
        self._source: PeerLink | None = None
        self._sent_watermark = -1
        self._table.changes.subscribe(self._queue_record)
        self._progress.changes.subscribe(self._send_watermark)
        self._progress.losses.subscribe(self._send_loss)

    def add_link(self, link: PeerLink) -> None:
        """Registers a link; sends the last loss of the store's history, if any."""
        self._flush()
        self._links.add(link)
        if self._progress.lost_after is not None:
            link.send(StoreLoss(self._progress.lost_after))

    def remove_link(self, link: PeerLink) -> None:
        """Unregisters a link and drops its deferred digest and request."""
        self._links.discard(link)
        self._deferred_digests.pop(link, None)
        if self._requested_link is link:
            self._requested_link = None

    def is_synchronized_with_peer(self) -> bool:
        """Returns whether this table has all records of a peer that is complete."""
        return any(
            link.is_synchronized and link.peer_watermark is not None
            for link in self._links
        )

    def send_due_digests(self, now: float) -> None:
        """Sends the digests that are due and drops a request that timed out."""
        for link in self._links:
            if now >= link.next_digest_at:
                jitter_s = random.uniform(-DIGEST_JITTER_S, DIGEST_JITTER_S)
                link.next_digest_at = now + DIGEST_INTERVAL_S + jitter_s
                self._send_digest(link)
        if self._requested_link is None or now >= self._request_deadline:
            self._requested_link = None
            self._compare_deferred()

    def handle(self, link: PeerLink, message: Message) -> bool:
        """Processes a message about records; returns false for any other message."""
        match message:
            case RecordCopies(records=records):
                validate_records(records)
                self._merge(link, records)
            case TableDigest(digest=digest):
                self._compare_digest(link, digest)
            case BucketDigests(digests=digests):
                self._send_missing(link, digests)
            case Watermark(revision=revision):
                link.peer_watermark = max(link.peer_watermark or 0, revision)
                self._raise_watermark(link)
            case StoreLoss(revision=revision):
                self._progress.record_loss(revision)
            case SyncComplete(synchronized=synchronized, revision=revision):
                link.is_synchronized = True
                if synchronized:
                    link.peer_watermark = max(link.peer_watermark or 0, revision)
                self._raise_watermark(link)
                self._finish_request(link)
            case _:
                return False
        return True

    def _merge(self, link: PeerLink, records: Iterable[PolicyRecord]) -> None:
        self._flush()
        self._source = link
        self._progress.merge(records)
        self._source = None
        self._flush()

    def _queue_record(self, record: PolicyRecord) -> None:
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._flush)
        # A deletion may replace a copy that its sender still has in force, so it is
        # sent back to the sender as well.
        source = self._source if record.body else None
        self._pending.append(PendingRecord(record, source))

    def _flush(self) -> None:
        pending, self._pending = self._pending, []
        if not pending:
            return
        frames: dict[tuple[PolicyRecord, ...], list[bytes]] = {}
        for link in self._links:
            records = tuple(item.record for item in pending if item.source is not link)
            if records not in frames:
                frames[records] = [*encode_batches(records)]
            for frame in frames[records]:
                link.send_frame(frame)

    def _send_watermark(self, revision: int) -> None:
        self._flush()
        # Store changes that touch no policy record raise the watermark all the time;
        # only a watermark that new records wait for is worth a message on each link.
        if self._sent_watermark >= self._table.highest_revision:
            return
        self._sent_watermark = revision
        frame = encode_message(Watermark(revision))
        for link in self._links:
            link.send_frame(frame)

    def _send_loss(self, revision: int) -> None:
        # Links preserve order, so this precedes any record written after the loss.
        for link in self._links:
            link.send(StoreLoss(revision))

    def _send_digest(self, link: PeerLink) -> None:
        self._flush()
        link.send(TableDigest(self._table.digests.build_table_digest()))
        if self._progress.synchronized:
            link.send(Watermark(self._progress.watermark))

    def _compare_digest(self, link: PeerLink, digest: bytes) -> None:
        if digest == self._table.digests.build_table_digest():
            link.is_synchronized = True
            self._raise_watermark(link)
        elif self._requested_link is None:
            self._request_missing(link)
        else:
            self._deferred_digests[link] = digest

    def _request_missing(self, link: PeerLink) -> None:
        # One request at a time: otherwise a new agent would receive the whole table
        # from every peer.
        self._requested_link = link
        self._request_deadline = time.monotonic() + REQUEST_TIMEOUT_S
        link.send(BucketDigests(self._table.digests.build_bucket_digests()))

    def _finish_request(self, link: PeerLink) -> None:
        if self._requested_link is link:
            self._requested_link = None
            self._compare_deferred()

    def _compare_deferred(self) -> None:
        # The digests may be stale; later changes have arrived on the same link.
        deferred, self._deferred_digests = self._deferred_digests, {}
        for link, digest in deferred.items():
            self._compare_digest(link, digest)

    def _send_missing(self, link: PeerLink, digests: tuple[bytes, ...]) -> None:
        if len(digests) != BUCKET_COUNT:
            raise ProtocolError(
                f"expected {BUCKET_COUNT} bucket digests, got {len(digests)}"
            )
        self._flush()
        own = self._table.digests.build_bucket_digests()
        keys = [
            key
            for bucket in range(BUCKET_COUNT)
            if own[bucket] != digests[bucket]
            for key in self._table.digests.get_keys(bucket)
        ]
        link.send_bulk(self._encode_missing(keys))

    def _encode_missing(self, keys: Iterable[str]) -> Iterator[bytes]:
        copies = (record for key in keys for record in self._table.get_copies_of(key))
        yield from encode_batches(copies)
        progress = self._progress
        yield encode_message(SyncComplete(progress.synchronized, progress.watermark))

    def _raise_watermark(self, link: PeerLink) -> None:
        if link.is_synchronized and link.peer_watermark is not None:
            self._progress.advance_to(link.peer_watermark)


def validate_records(records: Iterable[PolicyRecord]) -> None:
    """Raises ``ProtocolError`` for a record whose revision is below 1."""
    for record in records:
        if record.revision < 1:
            raise ProtocolError(
                f"record {record.key!r} has revision {record.revision}, "
                "expected at least 1"
            )


def encode_batches(records: Iterable[PolicyRecord]) -> Iterator[bytes]:
    """Yields the records in encoded messages of a bounded size."""
    for message in batch_records(records):
        yield encode_compressed(message)
