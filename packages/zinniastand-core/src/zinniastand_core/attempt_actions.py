"""Actions and failures of a request's plan, and the interface that picks targets."""

from __future__ import annotations

import dataclasses
import enum
import typing

from . import claim_records, outcomes, services


class Freshness(enum.StrEnum):
    """Which connections may carry an attempt."""

    ANY = "any"
    """Any pooled connection: a request that is lost can be sent again."""

    PROVED = "proved"
    """A new connection, or one that has just carried an answer.

    At-most-once work must not be lost on a pooled connection that has died.
    """

    NEW = "new"
    """A new connection: a pooled one has just failed, and only a new one shows
    whether the target itself has.
    """


class Failure(enum.StrEnum):
    """How an attempt ended without a complete answer."""

    NOT_HANDED = "not-handed"
    """No connection could be made, so the target received nothing."""

    BUSY = "busy"
    """This VM had no free connection to the target, so nothing was sent."""

    REFUSED = "refused"
    """The target answered that it refused the request before starting it."""

    SILENT = "silent"
    """The request was sent, but the connection closed or no answer came."""

    CUT = "cut"
    """The answer was incomplete or belonged to another request."""

    OVERDUE = "overdue"
    """No answer by the deadline."""


NOT_STARTED = (Failure.NOT_HANDED, Failure.BUSY, Failure.REFUSED)
"""Failures that prove that the target did not start the work."""


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Action: send the request to a target."""

    attempt: int
    """Number of the attempt, from 1; its result is reported under it."""

    target: services.Target
    """Target to send it to."""

    freshness: Freshness
    """Connections that may carry it."""

    deadline: float
    """Unix seconds after which the answer is no longer wanted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Action: cancel an attempt whose answer is no longer wanted."""

    attempt: int
    """Number of the attempt."""


@dataclasses.dataclass(frozen=True, slots=True)
class SeekClaim:
    """Action: seek the claim on the idempotency key before anything is sent."""

    claim: claim_records.Claim
    """The claim to seek."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settle:
    """Action: append the outcome of the claim to the log."""

    record: claim_records.Record
    """Record of the outcome."""


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Action: pass the complete answer of an attempt to the caller."""

    attempt: int
    """Number of the attempt."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Action: answer the caller with a refusal made by the proxy."""

    refusal: outcomes.Refusal
    """Outcome and reason to answer with."""


Action = Send | Cancel | SeekClaim | Settle | Relay | Refuse


class Chooser(typing.Protocol):
    """Interface that picks targets and limits retries and hedges."""

    def choose(
        self, kind: services.Kind, excluded: typing.AbstractSet[str], now: float
    ) -> services.Target | None:
        """Return a target for the next attempt, or None if none may get it."""
        ...

    def may_retry(self, now: float) -> bool:
        """Return whether the retry budget allows one more attempt, and spend it."""
        ...

    def may_hedge(self, now: float) -> bool:
        """Return whether the hedge budget allows one more, and spend it."""
        ...

    def find_pause_end(
        self, kind: services.Kind, deadline: float, now: float
    ) -> float | None:
        """Return the unix time at which to try again after several full targets.

        Returns None if an answer could not arrive by the deadline any more.
        """
        ...

    def find_hedge_time(
        self, kind: services.Kind, target: services.Target, now: float
    ) -> float | None:
        """Return the unix time at which to start a hedge, or None for no hedge."""
        ...
