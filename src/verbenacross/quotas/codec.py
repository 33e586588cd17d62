"""Encodes messages as CBOR arrays that start with the number of the message type.

Fractions are integers in millionths and rates in hundredths, which take one to five
bytes instead of nine.
"""

from __future__ import annotations

from typing import Any

import cbor2

from .exceptions import QuotaError
from .messages import CustomerCount, Fractions, Heartbeat, Hello, Message, Report

FRACTION_SCALE = 1_000_000
RATE_SCALE = 100
HELLO, REPORT, FRACTIONS, HEARTBEAT = range(4)


def encode_message(message: Message) -> bytes:
    """Encodes a message as CBOR."""
    parts: list[Any]
    match message:
        case Hello(instance, failure_domain, is_coordinator):
            parts = [HELLO, instance, failure_domain, is_coordinator]
        case Report(sequence, counts):
            parts = [REPORT, sequence, *(encode_count(count) for count in counts)]
        case Fractions(version, fractions):
            scaled = {
                customer: max(1, round(fraction * FRACTION_SCALE))
                for customer, fraction in fractions.items()
            }
            parts = [FRACTIONS, version, scaled]
        case Heartbeat(version):
            parts = [HEARTBEAT, version]
    return cbor2.dumps(parts)


def decode_message(data: bytes | str) -> Message:
    """Decodes a frame; raises ``QuotaError`` when it is malformed."""
    if isinstance(data, str):
        raise QuotaError("expected a binary frame, got text")
    try:
        parts: Any = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise QuotaError(f"frame is not valid CBOR: {error}") from error
    match parts:
        case [0, str(instance), str(failure_domain), bool(is_coordinator)]:
            return Hello(instance, failure_domain, is_coordinator)
        case [1, int(sequence), *counts]:
            return Report(sequence, tuple(map(decode_count, counts)))
        case [2, int(version), dict(fractions)]:
            return Fractions(version, dict(map(decode_fraction, fractions.items())))
        case [3, int(version)]:
            return Heartbeat(version)
    raise QuotaError("unknown message type or malformed fields")


def encode_count(count: CustomerCount) -> list[Any]:
    """Returns the fields of a customer's counts, without rates that are 0."""
    rates = (count.demand_per_s, count.admitted_per_s)
    scaled = [round(rate * RATE_SCALE) for rate in rates] if any(rates) else []
    return [count.customer, count.demand, count.admitted, *scaled]


def decode_count(parts: Any) -> CustomerCount:
    """Decodes a customer's counts; raises ``QuotaError`` when they are malformed."""
    match parts:
        case [str(customer), int(demand), int(admitted)]:
            return CustomerCount(customer, demand, admitted)
        case [str(customer), int(demand), int(admitted), int(offered), int(passed)]:
            rates = max(0, offered) / RATE_SCALE, max(0, passed) / RATE_SCALE
            return CustomerCount(customer, demand, admitted, *rates)
    raise QuotaError("malformed counts of a customer")


def decode_fraction(item: Any) -> tuple[str, float]:
    """Decodes a customer's fraction; raises ``QuotaError`` when it is malformed."""
    match item:
        case (str(customer), int(scaled)) if 0 < scaled <= FRACTION_SCALE:
            return customer, scaled / FRACTION_SCALE
    raise QuotaError("malformed fraction of a customer")
