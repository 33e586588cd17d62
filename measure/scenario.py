"""Scenarios of the measurement tool: deployments, workloads and faults."""

from __future__ import annotations

from typing import NamedTuple

SLOTS = 6


class ServiceSize(NamedTuple):
    """A service with its number of servers."""

    name: str
    servers: int


class Deployment(NamedTuple):
    """A deployment from the table of users in the design.

    ``connections`` is the connection limit of each server. Service times are scaled up
    so that one machine can run the stated numbers of servers and entries.
    """

    name: str
    failure_domains: tuple[str, ...]
    services: tuple[ServiceSize, ...]
    connections: int
    entries: int


class Workload(NamedTuple):
    """Open-loop demand on each of the services.

    ``utilization`` is the offered load as a share of what the slots can do.
    ``peak_factor`` multiplies demand from ``PEAK_START_SHARE`` to ``PEAK_END_SHARE`` of
    the run.
    """

    services: tuple[str, ...]
    utilization: float = 0.7
    short_ms: float = 80.0
    long_factor: float = 20.0
    long_share: float = 0.02
    peak_factor: float = 1.0
    timeout_ms: int = 4_000


class Fault(NamedTuple):
    """Fault of upstream stand-ins; ``servers`` are indices in the first service."""

    servers: tuple[int, ...] = ()
    behaviour: tuple[tuple[str, float], ...] = ()
    noisy: bool = False


class Scenario(NamedTuple):
    """A workload on a deployment with a fault; ``arms`` limits the arms to run."""

    name: str
    deployment: str
    workload: Workload
    fault: Fault = Fault()
    arms: tuple[str, ...] = ()


DEPLOYMENTS = {
    "vn-north": Deployment(
        "vn-north",
        ("hanoi-a", "hanoi-b", "haiphong-a"),
        (
            ServiceSize("clause-registry", 15),
            ServiceSize("certification-ledger", 6),
            ServiceSize("dossier-archive", 6),
            ServiceSize("inspection-desk", 6),
        ),
        220,
        13,
    ),
    "be-central": Deployment(
        "be-central",
        ("a", "b", "c", "d"),
        (
            ServiceSize("layerhouse", 18),
            ServiceSize("cuepublish", 13),
            ServiceSize("clipvault", 8),
            ServiceSize("stationfeed", 8),
        ),
        260,
        19,
    ),
}

CLAUSE_WORKLOAD = Workload(("clause-registry",))
MAIN_ARMS = ("round_robin", "default", "central")

SCENARIOS = (
    Scenario("normal", "vn-north", CLAUSE_WORKLOAD),
    Scenario(
        "slow-10x",
        "vn-north",
        CLAUSE_WORKLOAD,
        Fault((3,), (("slowdown", 10.0),)),
        MAIN_ARMS,
    ),
    Scenario(
        "fail-fast",
        "vn-north",
        CLAUSE_WORKLOAD,
        Fault((3,), (("fail_fast", 1.0),)),
        MAIN_ARMS,
    ),
    Scenario(
        "stale-reports",
        "vn-north",
        CLAUSE_WORKLOAD,
        Fault((1, 6, 11), (("report_in_flight", 4),)),
        MAIN_ARMS,
    ),
    Scenario(
        "idle-claimed",
        "vn-north",
        CLAUSE_WORKLOAD,
        Fault((3,), (("report_in_flight", 0), ("slowdown", 3.0))),
        MAIN_ARMS,
    ),
    Scenario("noisy", "vn-north", CLAUSE_WORKLOAD, Fault(noisy=True), MAIN_ARMS),
    Scenario(
        "all-services",
        "vn-north",
        Workload(
            tuple(service.name for service in DEPLOYMENTS["vn-north"].services),
            short_ms=120.0,
        ),
        arms=MAIN_ARMS,
    ),
    Scenario(
        "all-services-be",
        "be-central",
        Workload(
            tuple(service.name for service in DEPLOYMENTS["be-central"].services),
            short_ms=160.0,
        ),
        arms=MAIN_ARMS,
    ),
    Scenario(
        "crest-4x",
        "be-central",
        Workload(
            ("layerhouse",),
            utilization=0.35,
            short_ms=120.0,
            long_factor=8.0,
            peak_factor=4.0,
            timeout_ms=2_000,
        ),
        arms=MAIN_ARMS,
    ),
)
