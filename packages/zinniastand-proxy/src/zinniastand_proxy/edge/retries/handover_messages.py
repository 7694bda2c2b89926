"""Messages with which a stopping VM hands over its counts, and their datagrams."""

from __future__ import annotations

import dataclasses
import math

from zinniastand_core.dispatch import retry_ledger


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverOffered:
    """The sender is stopping, and wants to hand over what it counted for a service."""

    vm: str
    """Name of the sender."""

    ticket: str
    """Ticket of the handover, unique in the fleet."""


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverAccepted:
    """Answer to an offer: the sender takes the counts if they arrive in time."""

    vm: str
    """Name of the sender."""

    ticket: str
    """Ticket of the handover."""


@dataclasses.dataclass(frozen=True, slots=True)
class CountsHandedOver:
    """The counts, which the sender has removed from its own ledger."""

    vm: str
    """Name of the sender."""

    ticket: str
    """Ticket of the handover."""

    service: str
    """Service to which the requests and retries were sent."""

    content: retry_ledger.LedgerContent
    """The counts."""


HandoverMessage = HandoverOffered | HandoverAccepted | CountsHandedOver

KINDS = frozenset("OTC")
"""First values of the datagrams of these messages."""


def pack(message: HandoverMessage) -> list[object]:
    """Return the values of a message, its kind first."""
    match message:
        case HandoverOffered():
            return ["O", message.vm, message.ticket]
        case HandoverAccepted():
            return ["T", message.vm, message.ticket]
        case CountsHandedOver():
            head = ["C", message.vm, message.ticket, message.service]
            return [*head, *dataclasses.astuple(message.content)]


def unpack(kind: str, values: list) -> HandoverMessage:
    """Return the message of values without their kind.

    Raises
    ------
    ValueError
        If the values are not those of a message.
    """
    vm, ticket = map(str, values[:2])
    match kind:
        case "O":
            return HandoverOffered(vm, ticket)
        case "T":
            return HandoverAccepted(vm, ticket)
    service, span, requests, retries = values[2:]
    content = retry_ledger.LedgerContent(
        float(span),
        tuple((int(age), int(_check_count(count))) for age, count in requests),
        tuple((int(age), _check_count(amount)) for age, amount in retries),
    )
    return CountsHandedOver(vm, ticket, str(service), content)


def _check_count(value: object) -> float:
    """Return a number of requests or retries; negative ones would allow retries."""
    if not isinstance(value, float | int) or not 0.0 <= value < math.inf:
        raise ValueError(f"expected a number of at least 0, got {value!r:.20}")
    return float(value)
