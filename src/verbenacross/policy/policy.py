"""Schema version 1 of policy records."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any, Literal, NamedTuple

from pydantic import Field

from ..settings.typed_document import Conflict

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

MAX_VERSION = 10**18 - 1
SERVICE_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"

ServiceName = Annotated[str, Field(pattern=SERVICE_PATTERN)]
Milliseconds = Annotated[int, Field(ge=1, le=86_400_000)]
Share = Annotated[float, Field(gt=0, le=1)]
Chooser = Literal[
    "random",
    "round_robin",
    "least_in_flight",
    "two_choices",
    "two_choices_reported",
    "report_pool",
    "least_estimated",
]


class CallerMatch(NamedTuple):
    """Callers to which a policy version applies."""

    names: tuple[str, ...] = ()
    default: bool = True


class UpstreamOptions(NamedTuple):
    """Capacity of each upstream of the service and options that protect it."""

    slots: Annotated[int, Field(ge=1, le=10_000)] = 6
    connections: Annotated[int, Field(ge=1, le=100_000)] = 220
    connect_timeout_ms: Milliseconds = 500
    cold_start_ms: Milliseconds = 10_000
    max_ejected_share: Share = 0.3


class RequestClass(NamedTuple):
    """A class of requests; the first class that matches a request applies to it."""

    name: str
    path_prefix: str = "/"
    methods: tuple[str, ...] = ()
    size: Literal["short", "long"] = "short"
    priority: Annotated[int, Field(ge=0, le=9)] = 5
    idempotent: bool | None = None


class RoutingOptions(NamedTuple):
    """How an upstream is chosen.

    Without ``outlier_detection`` the chooser alone decides: slow and failing upstreams
    are neither avoided nor ejected, and new ones get no slow start.
    ``near_bonus_requests`` is how many more requests in flight an upstream of the
    entry's own failure domain may have before one of another domain is preferred.
    """

    chooser: Chooser = "least_estimated"
    prefer_near: bool = True
    near_bonus_requests: Annotated[float, Field(ge=0, le=1_000)] = 1.0
    outlier_detection: bool = True


class LimitOptions(NamedTuple):
    """Limits on concurrency, queueing, time-outs and long requests.

    ``concurrency_headroom`` is the largest initial concurrency limit of an upstream, as
    a multiple of its slots: requests in transit to and from it count as in flight too.
    Long requests need less, since their transit time is short in comparison. Without
    ``adaptive_concurrency`` requests queue on upstreams, never in the entry.
    """

    adaptive_concurrency: bool = True
    concurrency_headroom: Annotated[float, Field(ge=1, le=10)] = 1.5
    queue_size: Annotated[int, Field(ge=0, le=100_000)] = 512
    default_timeout_ms: Milliseconds = 10_000
    max_timeout_ms: Milliseconds = 120_000
    long_share: Share = 0.34
    long_after_ms: Milliseconds = 1_000


class RetryOptions(NamedTuple):
    """When a request may be retried or hedged."""

    max_attempts: Annotated[int, Field(ge=1, le=5)] = 3
    budget_ratio: Annotated[float, Field(ge=0, le=1)] = 0.1
    hedge_after_ms: Milliseconds | None = None


class MeasuringOptions(NamedTuple):
    """Probe budget for each upstream, shared by all instances."""

    probes_per_second: Annotated[float, Field(ge=0, le=100)] = 0.2


class IdempotencyOptions(NamedTuple):
    """How long the store keeps an ``Idempotency-Key``."""

    retention_s: Annotated[int, Field(ge=1, le=604_800)] = 86_400


class Policy(NamedTuple):
    """A policy record of schema version 1."""

    schema_version: Literal[1]
    service: ServiceName
    version: Annotated[int, Field(ge=1, le=MAX_VERSION)]
    state: Literal["active", "retired"] = "active"
    callers: CallerMatch = CallerMatch()
    upstreams: UpstreamOptions = UpstreamOptions()
    classes: tuple[RequestClass, ...] = ()
    routing: RoutingOptions = RoutingOptions()
    limits: LimitOptions = LimitOptions()
    retries: RetryOptions = RetryOptions()
    measuring: MeasuringOptions = MeasuringOptions()
    idempotency: IdempotencyOptions = IdempotencyOptions()

    @staticmethod
    def find_conflicts(fields: Mapping[str, Any]) -> Iterator[Conflict]:
        """Yields conflicts between valid fields."""
        limits = fields.get("limits")
        if limits and limits.default_timeout_ms > limits.max_timeout_ms:
            yield Conflict(
                "$.limits.default_timeout_ms",
                f"must be at most max_timeout_ms ({limits.max_timeout_ms})",
            )
        names = [entry.name for entry in fields.get("classes", ())]
        for index, name in enumerate(names):
            if name in names[:index]:
                path = f"$.classes[{index}].name"
                yield Conflict(path, f"class {name!r} is defined twice")
