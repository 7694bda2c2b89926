"""Messages between VMs about client accounts, and their encoding in datagrams."""

from __future__ import annotations

import dataclasses
import enum
import math
import operator

from zinniastand_core.accounts import quota, quota_credit


@dataclasses.dataclass(frozen=True, slots=True)
class ProofRequested:
    """The sender asks when its configuration was last proven to be the newest."""

    vm: str
    """Name of the sender."""

    number: int
    """Number that the reply repeats, by which the sender knows when it asked."""


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """Reply to `ProofRequested`: when a configuration was proven to be the newest."""

    vm: str
    """Name of the sender."""

    number: int
    """Number of the question."""

    version: int
    """Version in force at the sender, which the proof is about."""

    age: float
    """Seconds from the proof until this reply was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaRequested:
    """The sender asks whether a request is within the quota of its account."""

    vm: str
    """Name of the sender."""

    ticket: str
    """Names the request uniquely in the fleet."""

    account: str
    """Name of the account."""

    is_relayed: bool = False
    """Whether the sender asks for another VM."""


class QuotaAnswer(enum.StrEnum):
    """Answer to a `QuotaRequested`."""

    GRANTED = "granted"
    """The request is within the quota."""

    REFUSED = "refused"
    """The request exceeds the quota."""

    UNKNOWN = "unknown"
    """The sender does not know the account."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaDecided:
    """Reply to `QuotaRequested`."""

    ticket: str
    """Names the request."""

    answer: QuotaAnswer
    """The decision."""

    retry_at: float
    """When a refused caller should come back, by the receiver's clock."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaRefunded:
    """A request that was within its quota has not run."""

    ticket: str
    """Names the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class CreditAsked:
    """The sender asks for credit of an account."""

    vm: str
    """Name of the sender, which gets the answer."""

    borrower: str
    """Names the VM that uses the credit, and its start."""

    number: int
    """Number of the question; later ones of the borrower have higher numbers."""

    account: str
    """Name of the account."""

    wanted: int
    """Tokens that the borrower can use soon."""

    is_relayed: bool = False
    """Whether the sender asks for another VM."""


@dataclasses.dataclass(frozen=True, slots=True)
class CreditLent:
    """Reply to `CreditAsked`."""

    vm: str
    """Name of the sender."""

    lender: str
    """Name of the VM that counts the credit."""

    borrower: str
    """Borrower of the question."""

    number: int
    """Number of the question."""

    amount: int
    """Tokens lent; negative if the sender does not know the account."""

    lifetime: float
    """Seconds after the question from which the credit must not be used."""

    retry_at: float
    """When the borrower may ask again, by the receiver's clock."""

    is_settled_early: bool = False
    """Whether the borrower should tell as soon as it has used all tokens."""


@dataclasses.dataclass(frozen=True, slots=True)
class CreditReturned:
    """Tokens of a loan come back. The totals may be sent any number of times."""

    borrower: str
    """Borrower of the loan."""

    number: int
    """Number of its question."""

    unused: int
    """Tokens of the loan so far that were not used."""

    refunded: int
    """Tokens of the loan so far whose requests have not run."""

    is_settled: bool = False
    """Whether all others have been used."""


CreditMessage = CreditAsked | CreditLent | CreditReturned
"""A message about credit of an account's quota."""

AccountMessage = (
    ProofRequested
    | Proof
    | QuotaRequested
    | QuotaDecided
    | QuotaRefunded
    | CreditMessage
)
"""A message about client accounts."""

KINDS = frozenset("bdfptuyz")
"""First values of the datagrams of these messages."""


def pack(message: AccountMessage, now: float) -> list[object]:
    """Return the values of a message, its kind first.

    Parameters
    ----------
    message : AccountMessage
        The message.
    now : float
        Seconds of the monotonic clock.
    """
    match message:
        case ProofRequested():
            return ["f", message.vm, message.number]
        case Proof():
            return ["p", *dataclasses.astuple(message)]
        case QuotaRequested():
            return ["u", *dataclasses.astuple(message)]
        case QuotaDecided():
            return ["y", message.ticket, message.answer.value, message.retry_at - now]
        case QuotaRefunded():
            return ["z", message.ticket]
        case CreditAsked():
            return ["b", *dataclasses.astuple(message)]
        case CreditLent():
            *fields, retry_at, is_settled_early = dataclasses.astuple(message)
            return ["d", *fields, retry_at - now, is_settled_early]
        case CreditReturned():
            return ["t", *dataclasses.astuple(message)]


def unpack(kind: str, fields: list, now: float) -> AccountMessage:
    """Return the message of a kind from the values after it.

    Raises
    ------
    ValueError
        If the values do not form a message of this kind.
    """
    match kind:
        case "f":
            return ProofRequested(str(fields[0]), operator.index(fields[1]))
        case "p":
            return _unpack_proof(fields)
        case "u":
            vm, ticket, account, is_relayed = fields
            return QuotaRequested(
                str(vm), str(ticket), str(account), is_relayed is True
            )
        case "y":
            ticket, answer, delay = fields
            return QuotaDecided(str(ticket), QuotaAnswer(answer), now + float(delay))
        case "z":
            return QuotaRefunded(str(fields[0]))
        case "b":
            return _unpack_question(fields)
        case "d":
            return _unpack_credit(fields, now)
        case "t":
            return _unpack_returned(fields)
        case _:
            raise ValueError(f"unknown kind {kind!r:.20}")


def _unpack_proof(fields: list) -> Proof:
    """Return a proof.

    A negative age is rejected: it would make a revoked key valid for longer.
    """
    vm, number, version, age = fields
    if not 0.0 <= age < math.inf:
        raise ValueError(f"expected an age of at least 0 s, got {age!r:.20}")
    return Proof(str(vm), operator.index(number), operator.index(version), float(age))


def _unpack_question(fields: list) -> CreditAsked:
    vm, borrower, number, account, wanted, is_relayed = fields[:6]
    _check_range(wanted, 1, quota_credit.MAX_WANTED)
    return CreditAsked(
        str(vm), str(borrower), int(number), str(account), wanted, is_relayed is True
    )


def _unpack_returned(fields: list) -> CreditReturned:
    borrower, number, unused, refunded, is_settled = fields[:5]
    _check_range(unused, 0, quota_credit.MAX_WANTED)
    _check_range(refunded, 0, quota_credit.MAX_WANTED)
    return CreditReturned(
        str(borrower), int(number), unused, refunded, is_settled is True
    )


def _unpack_credit(fields: list, now: float) -> CreditLent:
    """Return credit; a longer lifetime than any that is lent is rejected."""
    vm, lender, borrower, number, amount, lifetime, delay, is_settled_early = fields[:8]
    _check_range(amount, -1, quota_credit.MAX_WANTED)
    if not 0.0 <= lifetime <= quota_credit.MAX_LIFETIME_S:
        raise ValueError(f"expected a lifetime of credit, got {lifetime!r:.20}")
    if not abs(delay) < math.inf:
        raise ValueError(f"expected a finite delay, got {delay!r:.20}")
    retry_at = now + min(float(delay), quota.MAX_RETURN_DELAY_S)
    return CreditLent(
        str(vm),
        str(lender),
        str(borrower),
        int(number),
        amount,
        float(lifetime),
        retry_at,
        is_settled_early is True,
    )


def _check_range(value: object, lowest: int, highest: int) -> None:
    """Raise `ValueError` unless a value is a whole number within bounds."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"expected a whole number, got {value!r:.20}")
    if not lowest <= value <= highest:
        raise ValueError(f"expected {lowest} to {highest}, got {value!r:.20}")
