"""What the plan of a request asks for, what it is told, and who picks targets."""

from __future__ import annotations

import dataclasses
import enum
import typing

from . import claim_records, outcomes, services


class Freshness(enum.StrEnum):
    """Which connections may carry an attempt."""

    ANY = "any"
    """A pooled connection is fine: a lost request can be sent again."""

    PROVED = "proved"
    """New, or answered moments ago: nothing may be lost in a silent one."""

    NEW = "new"
    """A pooled one has just failed; only a new one tells whether the target did."""


class Failure(enum.StrEnum):
    """How an attempt ended without a whole answer."""

    NOT_HANDED = "not-handed"
    """No connection could be made: the target saw nothing."""

    BUSY = "busy"
    """This VM has no connection to the target free: nothing was tried."""

    REFUSED = "refused"
    """The target declared that it refused before starting."""

    SILENT = "silent"
    """Handed over; then the connection died or gave nothing back."""

    CUT = "cut"
    """The answer was incomplete or not to this request."""

    OVERDUE = "overdue"
    """No answer by the deadline."""


NOT_STARTED = (Failure.NOT_HANDED, Failure.BUSY, Failure.REFUSED)


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Action: send the request to a target."""

    attempt: int
    """Number to report the result under."""

    target: services.Target
    """Where to."""

    freshness: Freshness
    """Which connections may carry it."""

    deadline: float
    """When the answer is no longer wanted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Action: the answer of an attempt is no longer wanted."""

    attempt: int
    """Which."""


@dataclasses.dataclass(frozen=True, slots=True)
class SeekClaim:
    """Action: seek the claim on the key before anything is sent."""

    claim: claim_records.Claim
    """The claim."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settle:
    """Action: put what became of the claim on the log."""

    record: claim_records.Record
    """The outcome."""


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Action: give the caller the whole answer of an attempt."""

    attempt: int
    """Which."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Action: give the caller an answer of the proxy's own."""

    refusal: outcomes.Refusal
    """What to say."""


Action = Send | Cancel | SeekClaim | Settle | Relay | Refuse


class Chooser(typing.Protocol):
    """Whoever picks targets and rations retries."""

    def choose(
        self, kind: services.Kind, excluded: typing.AbstractSet[str], now: float
    ) -> services.Target | None:
        """Return a target for the next attempt, or None where none may have it."""
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
        """Return when to try again after several targets had no free slot.

        None where an answer could not come in time any more.
        """
        ...

    def find_hedge_time(
        self, kind: services.Kind, target: services.Target, now: float
    ) -> float | None:
        """Return when a second attempt is worth starting, or None."""
        ...
