"""Messages between a VM that holds a request and the dispatcher of its shard.

All times are seconds of a monotonic clock.
"""

from __future__ import annotations

import dataclasses
import enum

from . import shards


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """Request for a slot of a target, which one attempt of a caller's request needs."""

    ticket: str
    """Identifier of this slot request, unique in the fleet; kept when it is sent
    again."""

    shard: shards.Shard
    """Shard whose targets may do the work."""

    kind: str
    """Kind of work; requests of a kind are alike, and share a mean duration."""

    may_retry: bool
    """Whether a failed attempt may be followed by another: the work is idempotent and
    has attempts left."""

    priority: int
    """Priority among the requests of the service; 0 goes first."""

    objective_at: float
    """Time until which an answer counts as on time."""

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
    """Whether this is the first slot request for the request. Later ones earn no
    retries: another dispatcher may have counted the request before."""

    has_alternative: bool = False
    """Whether the VM asks another shard if this one refuses. The request is then
    refused early rather than late, and does not displace work of another data
    centre."""

    @property
    def is_guest(self) -> bool:
        """Whether it may use only slots that the data centre of the shard leaves."""
        return self.has_alternative and self.shard.data_centre not in (
            "",
            self.data_centre,
        )

    account: str = ""
    """Client account of the caller; empty if it has none, or if fair queueing over
    accounts is not enabled."""


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Decision that the requester gets a slot of a target."""

    ticket: str
    """Ticket of the slot request."""

    target_id: str
    """The target."""

    failure_probability: float
    """Estimated probability that the target fails the request, for the log."""

    expected_duration: float
    """Seconds that the work is expected to take at the target."""

    pressure: float = shards.USUAL_PRESSURE
    """Pressure of the shard; 1 is one request for each proven healthy slot."""

    dispatcher: str = ""
    """VM that granted the slot, for the log; set by the requester."""

    silent_share: float = 0.0
    """Share of the failures of the shard's targets that give no answer at all."""


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
    """Decision that the requester gets no slot."""

    ticket: str
    """Ticket of the slot request."""

    reason: RefusalReason
    """Why it was refused."""

    retry_at: float
    """Earliest time at which the caller should come back."""

    pressure: float = shards.USUAL_PRESSURE
    """Pressure of the shard; 1 is one request for each proven healthy slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Decision that the slot request is queued; a grant or refusal follows."""

    ticket: str
    """Ticket of the slot request."""


Decision = Grant | Refuse | Wait


class Outcome(enum.StrEnum):
    """How an attempt at a target ended."""

    GOOD = "good"
    """A complete answer that is not an error of the target itself."""

    FAILED = "failed"
    """An error of the target, an answer that was cut off or came from another target,
    or a connection reset."""

    SILENT = "silent"
    """No answer until the request was given up or tried at another target."""

    SHED = "shed"
    """Turned away by a full target before the work ran."""

    UNREACHABLE = "unreachable"
    """No connection could be made."""

    MISPLACED = "misplaced"
    """Another target answered at this address."""

    ABANDONED = "abandoned"
    """Ended without a result: the caller left, or another target answered first."""

    UNUSED = "unused"
    """Nothing was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Frees the slot of a grant, with the outcome of the attempt."""

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
    """Requests per second that the target accepts, infinite if its answer announces no
    limit; None if no answer states it."""

    is_resent: bool = False
    """Whether the request was sent twice, because a reused connection broke."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldSlot:
    """A granted slot in use, sent by its VM to a dispatcher that takes over."""

    granted_request: SlotRequest
    """The slot request that was granted."""

    target_id: str
    """The target."""
