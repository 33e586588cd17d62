"""Spreads policy records over peer links and compares tables."""

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


class TakenRecord(NamedTuple):
    """A copy that was taken and the link it came from, if any."""

    record: PolicyRecord
    source: PeerLink | None


class RecordExchange:
    """Keeps the policy tables at both ends of each link equal.

    New copies go out at once. When a link opens, and now and then, both ends compare
    digests and exchange the buckets that differ. A link is ordered, so once an end has
    received what it lacked, the other end's watermark holds for it as well.
    """

    def __init__(self, progress: TableProgress) -> None:
        self._progress = progress
        self._table = progress.table
        self._links: set[PeerLink] = set()
        self._pending: list[TakenRecord] = []
        self._requested: PeerLink | None = None
        self._request_ends = 0.0
        self._waiting: dict[PeerLink, bytes] = {}
        self._source: PeerLink | None = None
        self._announced = -1
        self._table.changes.subscribe(self._queue)
        self._progress.changes.subscribe(self._announce)
        self._progress.losses.subscribe(self._announce_loss)

    def add_link(self, link: PeerLink) -> None:
        """Starts to exchange records on a link."""
        self._flush()
        self._links.add(link)
        if self._progress.lost_after is not None:
            link.send(StoreLoss(self._progress.lost_after))

    def remove_link(self, link: PeerLink) -> None:
        """Forgets a link."""
        self._links.discard(link)
        self._waiting.pop(link, None)
        if self._requested is link:
            self._requested = None

    def is_consulted(self) -> bool:
        """Returns whether a peer that is complete has sent all that it has."""
        return any(
            link.is_synchronized and link.peer_watermark is not None
            for link in self._links
        )

    def compare_due(self, now: float) -> None:
        """Sends digests on links that are due for a comparison."""
        for link in self._links:
            if now >= link.next_digest:
                jitter_s = random.uniform(-DIGEST_JITTER_S, DIGEST_JITTER_S)
                link.next_digest = now + DIGEST_INTERVAL_S + jitter_s
                self._send_digest(link)
        if self._requested is None or now >= self._request_ends:
            self._requested = None
            self._compare_waiting()

    def handle(self, link: PeerLink, message: Message) -> bool:
        """Handles a message about records; returns whether it was one."""
        match message:
            case RecordCopies(records=records):
                check_records(records)
                self._take(link, records)
            case TableDigest(digest=digest):
                self._compare(link, digest)
            case BucketDigests(digests=digests):
                self._send_missing(link, digests)
            case Watermark(revision=revision):
                link.peer_watermark = max(link.peer_watermark or 0, revision)
                self._raise_from(link)
            case StoreLoss(revision=revision):
                self._progress.record_loss(revision)
            case SyncComplete(synchronized=synchronized, revision=revision):
                link.is_synchronized = True
                if synchronized:
                    link.peer_watermark = max(link.peer_watermark or 0, revision)
                self._raise_from(link)
                self._end_request(link)
            case _:
                return False
        return True

    def _take(self, link: PeerLink, records: Iterable[PolicyRecord]) -> None:
        self._flush()
        self._source = link
        self._progress.merge(records)
        self._source = None
        self._flush()

    def _queue(self, record: PolicyRecord) -> None:
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._flush)
        # A deletion may replace a copy that its sender still has in force, so the
        # sender gets it as well.
        source = self._source if record.body else None
        self._pending.append(TakenRecord(record, source))

    def _flush(self) -> None:
        pending, self._pending = self._pending, []
        if not pending:
            return
        frames: dict[tuple[PolicyRecord, ...], list[bytes]] = {}
        for link in self._links:
            records = tuple(
                taken.record for taken in pending if taken.source is not link
            )
            if records not in frames:
                frames[records] = [*encode_batches(records)]
            for frame in frames[records]:
                link.send_frame(frame)

    def _announce(self, revision: int) -> None:
        self._flush()
        # A store that changes for other reasons raises the watermark all the time;
        # only watermarks that new records wait for are worth a message on each link.
        if self._announced >= self._table.highest_revision:
            return
        self._announced = revision
        frame = encode_message(Watermark(revision))
        for link in self._links:
            link.send_frame(frame)

    def _announce_loss(self, revision: int) -> None:
        # Links are ordered, so this arrives before any record written after the loss.
        for link in self._links:
            link.send(StoreLoss(revision))

    def _send_digest(self, link: PeerLink) -> None:
        self._flush()
        link.send(TableDigest(self._table.digests.build_table_digest()))
        if self._progress.synchronized:
            link.send(Watermark(self._progress.watermark))

    def _compare(self, link: PeerLink, digest: bytes) -> None:
        if digest == self._table.digests.build_table_digest():
            link.is_synchronized = True
            self._raise_from(link)
        elif self._requested is None:
            self._request(link)
        else:
            self._waiting[link] = digest

    def _request(self, link: PeerLink) -> None:
        # One request at a time: a new agent would otherwise receive its first table
        # from every peer.
        self._requested = link
        self._request_ends = time.monotonic() + REQUEST_TIMEOUT_S
        link.send(BucketDigests(self._table.digests.build_bucket_digests()))

    def _end_request(self, link: PeerLink) -> None:
        if self._requested is link:
            self._requested = None
            self._compare_waiting()

    def _compare_waiting(self) -> None:
        # The digests may be old; what changed since then has arrived on the same link.
        waiting, self._waiting = self._waiting, {}
        for link, digest in waiting.items():
            self._compare(link, digest)

    def _send_missing(self, link: PeerLink, digests: tuple[bytes, ...]) -> None:
        if len(digests) != BUCKET_COUNT:
            raise ProtocolError(f"expected {BUCKET_COUNT} digests, got {len(digests)}")
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

    def _raise_from(self, link: PeerLink) -> None:
        if link.is_synchronized and link.peer_watermark is not None:
            self._progress.advance_to(link.peer_watermark)


def check_records(records: Iterable[PolicyRecord]) -> None:
    """Raises ``ProtocolError`` for a record without a usable revision."""
    for record in records:
        if record.revision < 1:
            raise ProtocolError(f"record {record.key!r} has revision {record.revision}")


def encode_batches(records: Iterable[PolicyRecord]) -> Iterator[bytes]:
    """Yields the encoded messages that carry the records."""
    for message in batch_records(records):
        yield encode_compressed(message)
