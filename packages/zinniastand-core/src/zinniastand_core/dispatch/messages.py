"""Messages between a VM that holds a request and the dispatcher of its shard.

All times are seconds of a monotonic clock.
"""

from __future__ import annotations

import dataclasses
import enum

from . import shards


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """Asks for a slot of a target for a request."""

    ticket: str
    """Identifier of this slot request, unique in the fleet; kept when it is sent
    again."""

    shard: shards.Shard
    """Shard whose targets may do the work."""

    kind: str
    """Kind of work by which durations are learned; requests of a kind are alike."""

    may_retry: bool
    """Whether a failed attempt may be followed by another: the work is idempotent and
    has attempts left."""

    priority: int
    """Priority among the requests of the service; 0 goes first."""

    objective_at: float
    """Time until which an answer is on time."""

    deadline_at: float
    """Time after which nobody waits for an answer."""

    attempt: int
    """Number of the attempt; 1 for the first target of a request."""

    data_centre: str
    """Data centre of the requesting VM."""

    excluded: tuple[str, ...] = ()
    """Targets that this request or this VM must not use."""

    connected_targets: tuple[str, ...] = ()
    """Targets to which the VM has an idle connection that can carry the work."""

    is_first: bool = True
    """Whether this is the first slot request for the request. Only then does it earn
    retries: another dispatcher may have counted it before."""


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Gives the requester a slot of a target."""

    ticket: str
    """Ticket of the slot request."""

    target_id: str
    """The target."""

    failure_probability: float
    """Estimated probability that the target fails the request, for the log."""

    expected_duration: float
    """Seconds that the work is expected to take at the target."""

    pressure: float = shards.USUAL_PRESSURE
    """Load of the shard; 1 is one request for each proven healthy slot."""

    dispatcher: str = ""
    """VM that granted the slot, for the log; set by the requester."""


class RefusalReason(enum.StrEnum):
    """Why a slot request got no target."""

    OVERLOADED = "overloaded"
    """The wait for a slot would outlast the request."""

    NO_TARGET = "no-target"
    """No target of the service may be used."""

    RETRY_BUDGET = "retry-budget"
    """The retry budget of the service is used up."""

    TOO_LATE = "too-late"
    """No slot became free in time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Tells the requester that it gets no target."""

    ticket: str
    """Ticket of the slot request."""

    reason: RefusalReason
    """Why it was refused."""

    retry_at: float
    """Earliest time at which the caller should come back."""

    pressure: float = shards.USUAL_PRESSURE
    """Load of the shard; 1 is one request for each proven healthy slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Tells the requester that it is queued; a grant or refusal follows."""

    ticket: str
    """Ticket of the slot request."""


Decision = Grant | Refuse | Wait


class Outcome(enum.StrEnum):
    """How an attempt at a target ended."""

    GOOD = "good"
    """A complete answer that is not an error of the target itself."""

    FAILED = "failed"
    """An error of the target, an answer cut off or from another target, a reset."""

    SILENT = "silent"
    """No answer until the request was given up or tried at another target."""

    SHED = "shed"
    """Turned away before it ran, since the target was full."""

    UNREACHABLE = "unreachable"
    """No connection could be made."""

    MISPLACED = "misplaced"
    """Another target now has this address."""

    ABANDONED = "abandoned"
    """Inconclusive: the caller left, or another target answered."""

    UNUSED = "unused"
    """Nothing was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Returns the slot of a grant, with the outcome of the attempt."""

    ticket: str
    """Ticket of the grant."""

    shard: shards.Shard
    """Shard of the grant."""

    target_id: str
    """The target."""

    outcome: Outcome
    """How the attempt ended."""

    duration: float
    """Seconds from sending to the end of the attempt."""

    vm: str
    """VM that made the attempt."""

    rate_limit: float | None = None
    """Requests per second that the target accepts, infinite where its answer announces
    no limit; None where no answer tells."""

    is_resent: bool = False
    """Whether the request was sent twice, because a reused connection broke."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldSlot:
    """A granted slot that its VM still uses, sent to a dispatcher that takes over."""

    granted_request: SlotRequest
    """The slot request that was granted."""

    target_id: str
    """The target."""
