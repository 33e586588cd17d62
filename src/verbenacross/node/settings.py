"""Settings of the node program."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from ..documents.document import InvalidDocumentError
from ..documents.exceptions import SettingsError
from ..documents.fields import Document
from ..documents.file import read_file

if TYPE_CHECKING:
    from ..documents.address import Address

# Second attempts for more requests than this would be a considerable load themselves.
MAX_HEDGE_RATIO = 0.2


class NodeSettings(NamedTuple):
    """Settings of the node program; durations are in seconds.

    ``seeds`` are peer addresses of instances; some may be out of date.
    ``is_first_start`` states that all instances start now and that none has ever run
    before. The process is killed ``grace_period_s`` after the signal to stop. The
    limits on retries and probes are shared by all instances. API keys are accepted for
    ``revocation_timeout_s`` while no source confirms the configuration; 0 is no limit.
    ``link_mbps`` is the bandwidth of the instance's link; instances with more of it
    send records to others. ``reserve_slots`` states whether less urgent requests leave
    slots of upstreams free for more urgent ones. ``hedge_ratio`` is the share of the
    requests that may get a second attempt while the first one has no response; 0 turns
    them off.
    """

    instance: str
    failure_domain: str
    listen: Address
    readiness_listen: Address
    peer_listen: Address
    metrics_listen: Address
    seeds: tuple[str, ...]
    is_first_start: bool
    store: str
    memory_mb: int
    max_descriptors: int
    link_mbps: float
    grace_period_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    probes_per_second: float
    revocation_timeout_s: float
    reserve_slots: bool
    log_level: str
    log_lines_per_second: int
    hedge_ratio: float

    @classmethod
    def from_file(cls, path: str) -> NodeSettings:
        """Reads the settings; raises ``SettingsError`` with all findings."""
        data = read_file(path)
        try:
            document = Document(path, data)
            settings = cls.from_document(document)
            document.finish()
        except InvalidDocumentError as error:
            raise SettingsError(error.findings) from error
        return settings

    @classmethod
    def from_document(cls, document: Document) -> NodeSettings:
        """Reads the settings; findings are collected in the document."""
        root = document.root
        return cls(
            instance=root.get_string("instance"),
            failure_domain=root.get_string("failure_domain"),
            listen=root.get_address("listen"),
            readiness_listen=root.get_address("readiness_listen"),
            peer_listen=root.get_address("peer_listen"),
            metrics_listen=root.get_address("metrics_listen"),
            seeds=tuple(root.get_strings("seeds")),
            is_first_start=root.get_bool("is_first_start", default=False),
            store=root.get_string("store"),
            memory_mb=root.get_int("memory_mb", 1),
            max_descriptors=root.get_int("max_descriptors", 1),
            link_mbps=root.get_number("link_mbps", 0.0, default=0.0),
            grace_period_s=root.get_duration("grace_period"),
            retry_ratio=root.get_number("retry_ratio", 0.0),
            retry_window_s=root.get_duration("retry_window"),
            retry_slack=root.get_number("retry_slack", 0.0),
            probes_per_second=root.get_number("probes_per_second", 0.0),
            revocation_timeout_s=root.get_duration("revocation_timeout", "0s"),
            reserve_slots=root.get_bool("reserve_slots", default=False),
            log_level=root.get_string("log_level", default="INFO"),
            log_lines_per_second=root.get_int("log_lines_per_second", 1, default=200),
            hedge_ratio=root.get_number(
                "hedge_ratio", 0.0, default=0.0, maximum=MAX_HEDGE_RATIO
            ),
        )
