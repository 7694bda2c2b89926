"""Events of a soak, as its callers, targets and faults record them.

All times are seconds on the clock of the process that plays the seed.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that a caller sent."""

    request_id: str
    """Identifier of the request, unique within the soak."""

    vm: int
    """Number of the VM that the request was sent to."""

    is_unsafe: bool
    """Whether the request may run only once."""

    path: str
    """Path that was sent."""

    body: bytes
    """Body that was sent."""

    sent_at: float
    """Time at which sending began."""

    is_behind_long: bool = False
    """Whether it was sent behind long work, whose answer comes first."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How a request ended for its caller."""

    request_id: str
    """Identifier of the request."""

    ended_at: float
    """Time of the end."""

    status: int
    """Status of the complete answer, 0 if there was none."""

    is_signed: bool
    """Whether the answer has the signature of a target."""

    body: bytes
    """Body of the answer."""

    has_left: bool = False
    """Whether the caller closed its connection without waiting for an answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a target began to run."""

    request_id: str
    """Identifier of the request."""

    target_id: str
    """Identifier of the target."""

    service: str
    """Service of the target."""

    path: str
    """Path that the target received."""

    body: bytes
    """Body that the target received."""

    status: int
    """Status with which the target answers."""

    started_at: float
    """Time of the start."""

    time_left: float = 0.0
    """Seconds that the request allows the target."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a run."""

    run: Run
    """The run."""

    is_interrupted: bool
    """Whether the connection to the target closed before the target had finished."""

    ended_at: float
    """Time of the end."""


@dataclasses.dataclass(frozen=True, slots=True)
class DrainStart:
    """A target that announced in the store that it is draining."""

    target_id: str
    """Identifier of the target."""

    stored_at: float
    """Time from which the store held the announcement."""


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedVersion:
    """A version of the configuration."""

    version: int
    """Number of the version."""

    moving_service: str
    """Service to which this version sends the requests for ``/moving/``."""

    stored_at: float
    """Time from which the store held the version."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCrash:
    """The crash of a target."""

    target_id: str
    """Identifier of the target."""

    path: str
    """Path of the request that crashed the target; empty if no request did."""

    crashed_at: float
    """Time of the crash."""


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a target, whether the target ran it or not."""

    request_id: str
    """Identifier of the request."""

    target_id: str
    """Identifier of the target."""

    service: str
    """Service of the target."""

    arrived_at: float
    """Time of the arrival."""


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimitPeriod:
    """A period in which a target named a rate limit in its answers."""

    target_id: str
    """Identifier of the target."""

    rate: float
    """Requests per second that the target accepts."""

    begin: float
    """Time of the first answer that named the limit."""

    end: float
    """Time from which answers named the limit no more."""


@dataclasses.dataclass(frozen=True, slots=True)
class FaultPeriod:
    """A period in which an injected fault may have had effects."""

    kind: str
    """Value of the `plan.Action` that injected the fault."""

    affected: str
    """``store``, the identifier of a target, or ``vm-`` and the number of a VM."""

    begin: float
    """Time at which the fault began."""

    end: float
    """Time after which the fault had no effects."""


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionPeriod:
    """A period in which some VMs were partitioned from all targets."""

    vms: frozenset[int]
    """Numbers of these VMs."""

    begin: float
    """Time at which the partition began."""

    end: float
    """Time from which all VMs reached the targets again."""


@dataclasses.dataclass(slots=True)
class Ledger:
    """All events of a soak, by kind, each list in the order of recording."""

    sent_requests: list[SentRequest] = dataclasses.field(default_factory=list)
    """Requests of callers."""

    outcomes: dict[str, Outcome] = dataclasses.field(default_factory=dict)
    """Outcomes of these requests, by request identifier."""

    runs: list[Run] = dataclasses.field(default_factory=list)
    """Requests that targets began to run."""

    run_ends: list[RunEnd] = dataclasses.field(default_factory=list)
    """Ends of runs; one that crashes its target has none."""

    drain_starts: list[DrainStart] = dataclasses.field(default_factory=list)
    """Announcements of draining targets."""

    published_versions: list[PublishedVersion] = dataclasses.field(default_factory=list)
    """Versions of the configuration, in ascending order."""

    crashes: list[TargetCrash] = dataclasses.field(default_factory=list)
    """Crashes of targets."""

    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    """Requests that reached targets."""

    rate_limit_periods: list[RateLimitPeriod] = dataclasses.field(default_factory=list)
    """Periods in which targets named rate limits."""

    partitions: list[PartitionPeriod] = dataclasses.field(default_factory=list)
    """Periods in which VMs were partitioned from all targets."""

    faults: list[FaultPeriod] = dataclasses.field(default_factory=list)
    """Periods of faults that are over."""
