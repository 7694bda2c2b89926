"""Messages between a VM that holds a request and the dispatcher of its service."""

from __future__ import annotations

import dataclasses
import enum

from . import shards


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request wants a target."""

    ticket: str
    """Unique name of this ask over the fleet; an ask sent again has the same."""

    shard: shards.Shard
    """Targets that may do the work."""

    kind: str
    """Name under which times of work are learned; requests of a kind are alike."""

    may_retry: bool
    """Whether a failed attempt may be followed by another: the work is idempotent, and
    it has attempts left."""

    priority: int
    """Rank among the requests of the service; 0 goes first."""

    objective_at: float
    """Until when an answer is in time."""

    deadline_at: float
    """When nobody waits for an answer any more."""

    attempt: int
    """1 for the first target of a request."""

    data_centre: str
    """Where the asking VM runs."""

    excluded: tuple[str, ...] = ()
    """Targets that this request or this VM must not use."""

    connected_targets: tuple[str, ...] = ()
    """Targets to which the VM has an idle connection that may carry the work."""

    is_first: bool = True
    """Whether no dispatcher was asked for this request before. Only then does it earn
    retries: another dispatcher may have counted it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A target's slot is the asker's."""

    ticket: str
    """The ask."""

    target_id: str
    """The target."""

    failure_probability: float
    """Believed probability that the target fails the request, for the log."""

    expected_duration: float
    """Seconds that the work is expected to take there."""

    pressure: float = shards.USUAL_PRESSURE
    """How full the shard is; 1 is a request for each proven slot."""

    dispatcher: str = ""
    """VM that gave it, for the log; empty until the asker has taken it in."""


class RefusalReason(enum.StrEnum):
    """Why an ask got no target."""

    OVERLOADED = "overloaded"
    """The wait for a slot would outlast the request."""

    NO_TARGET = "no-target"
    """No target of the service may be used."""

    RETRY_BUDGET = "retry-budget"
    """The service has had all the retries that it may get for now."""

    TOO_LATE = "too-late"
    """A slot did not come free in time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """No target for this ask."""

    ticket: str
    """The ask."""

    reason: RefusalReason
    """Why."""

    retry_at: float
    """When it makes sense to come back."""

    pressure: float = shards.USUAL_PRESSURE
    """How full the shard is; 1 is a request for each proven slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The ask is queued; the answer follows."""

    ticket: str
    """The ask."""


Decision = Grant | Refuse | Wait


class Outcome(enum.StrEnum):
    """How an attempt at a target went."""

    GOOD = "good"
    """A whole answer that the target does not mean as an error of its own."""

    FAILED = "failed"
    """An error of the target, a cut or foreign answer, a reset."""

    SILENT = "silent"
    """No answer until the request was given up or tried elsewhere."""

    SHED = "shed"
    """Turned away before it ran, since the target was full."""

    UNREACHABLE = "unreachable"
    """No connection could be made."""

    MISPLACED = "misplaced"
    """Another target has this address by now."""

    ABANDONED = "abandoned"
    """Nothing can be told: the caller left, or another target answered."""

    UNUSED = "unused"
    """Nothing was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The slot of a grant is free again."""

    ticket: str
    """The ask that was granted."""

    shard: shards.Shard
    """Its shard."""

    target_id: str
    """The target."""

    outcome: Outcome
    """How it went."""

    took: float
    """Seconds from sending to the end of the attempt."""

    vm: str
    """The VM that tried."""

    rate_limit: float | None = None
    """Requests a second that the target takes, infinite where its answer names none;
    None where no answer tells."""

    is_resent: bool = False
    """Whether it was sent twice, since a kept connection broke under it."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldSlot:
    """A grant that its VM still uses, told to a dispatcher that takes over."""

    slot_request: SlotRequest
    """The ask."""

    target_id: str
    """The target."""
