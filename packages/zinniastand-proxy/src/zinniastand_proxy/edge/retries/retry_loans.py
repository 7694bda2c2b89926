"""Messages with which VMs lend each other retries, and their datagrams."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LoanRequested:
    """The sender has a request to retry, and less than a retry left."""

    vm: str
    """Name of the sender."""

    service: str
    """Service of the retry."""

    ticket: str
    """Ticket of the request for a loan, unique in the fleet."""

    amount: float
    """Part of a retry that is missing, 1 for a whole one."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoanDecided:
    """Answer to a request for a loan."""

    vm: str
    """Name of the lender."""

    service: str
    """Service of the retry."""

    ticket: str
    """Ticket of the request for a loan."""

    amount: float
    """Part of a retry that the lender counts; 0 if it lends nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoanReturned:
    """The sender will not use a loan."""

    vm: str
    """Name of the sender."""

    service: str
    """Service of the retry."""

    ticket: str
    """Ticket of the request for the loan."""


LoanMessage = LoanRequested | LoanDecided | LoanReturned

_KIND_BY_TYPE = {LoanRequested: "i", LoanDecided: "j", LoanReturned: "m"}

KINDS = frozenset(_KIND_BY_TYPE.values())
"""First values of the datagrams of these messages."""


def pack(message: LoanMessage) -> list[object]:
    """Return the values of a message, its kind first."""
    return [_KIND_BY_TYPE[type(message)], *dataclasses.astuple(message)]


def unpack(kind: str, values: list) -> LoanMessage:
    """Return the message of values without their kind.

    Raises
    ------
    ValueError
        If the values are not those of a message.
    """
    vm, service, ticket = map(str, values[:3])
    if kind == "m":
        return LoanReturned(vm, service, ticket)
    amount = _check_amount(*values[3:])
    if kind == "i":
        return LoanRequested(vm, service, ticket, amount)
    return LoanDecided(vm, service, ticket, amount)


def _check_amount(value: object) -> float:
    """Return the part of a retry; more than one would allow extra retries."""
    if not isinstance(value, float | int) or not 0.0 <= value <= 1.0:
        raise ValueError(f"expected a number from 0 to 1, got {value!r}")
    return float(value)
