"""Loads of the model in virtual time, and what became of them."""

from __future__ import annotations

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request."""

    name: str
    """Its name."""

    share: float
    """Share of all requests."""

    mean: float
    """Mean seconds of work."""

    attempts: int
    """Most targets that one request may be sent to when it fails."""

    priority: int
    """Rank."""

    objective: float
    """Seconds within which an answer is in time."""

    deadline: float
    """Seconds after which nobody waits."""


KINDS = (
    Kind("lookup", 0.27, 0.16, 2, 2, 0.6, 1.0),
    Kind("write", 0.73, 0.21, 1, 1, 0.6, 1.2),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What happens to a service."""

    rate: float
    """Requests a second."""

    seconds: float = 60.0
    """How long."""

    target_count: int = 22
    """Targets."""

    slots: int = 3
    """Slots of each."""

    onset: float = 0.033
    """Changes to failing, per second of a good target."""

    recovery: float = 0.078
    """Changes to good, per second of a failing target."""

    fails: float = 0.75
    """Share of requests that a failing target fails."""

    error_share: float = 0.012
    """Share of requests that fail at any target."""

    slow_share: float = 0.0
    """Share of targets that are slow."""

    slow_factor: float = 5.0
    """Times that a slow target takes longer."""

    lost_share: float = 0.0
    """Share of targets that are gone from the start."""

    burst: float = 1.0
    """Times as many requests as usual come in a burst."""

    burst_from: float = 4.0
    """Seconds from the start at which it begins."""

    burst_until: float = 7.0
    """Seconds from the start at which it ends."""

    shed: float = 0.0
    """Share of what reaches any target that is turned away."""

    limit_share: float = 0.0
    """Share of targets that name a limit."""

    limit: float = 2.0
    """Requests a second that each of them takes."""

    limit_from: float = 3.0
    """Seconds from the start at which they name it."""

    limit_until: float = math.inf
    """Seconds from the start at which they name none any more."""

    vms: int = 0
    """VMs that send and keep connections; 0 for a model without connections."""

    kept_for: float = 8.0
    """Seconds for which an idle connection may be used again."""

    returns: int = 0
    """Times that a refused caller comes back when told, while time is left."""

    kinds: tuple[Kind, ...] = KINDS
    """Kinds of requests."""

    @property
    def capacity(self) -> float:
        """Requests a second that all targets together could serve if none failed."""
        mean = sum(kind.share * kind.mean for kind in self.kinds)
        return self.target_count * self.slots / mean


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What became of all requests."""

    request_count: int
    """Requests."""

    in_time: int
    """Answered within their objective."""

    late: int
    """Answered after it."""

    failed: int
    """Failed by their last target, or overdue."""

    refused: int
    """Refused."""

    served_by_kind: dict[str, float]
    """Share served, by kind."""

    wasted: int
    """Attempts that failed."""

    denied: int
    """Requests whose first target failed them, and that got no second one."""

    opened: int
    """Connections opened to targets."""

    longest_refusal: float
    """Longest seconds that a refused request had waited."""

    busiest_limited: int
    """Most requests in four seconds at a target with a limit, from three seconds after
    it first named one."""

    limited_after: float
    """Requests a second and target at those that had one, once they name none."""

    refused_late: float
    """Share of all requests that were refused after more than an eighth of their
    objective."""

    @property
    def served_share(self) -> float:
        """Share of requests that were answered."""
        return (self.in_time + self.late) / max(1, self.request_count)

    @property
    def in_time_share(self) -> float:
        """Share of requests that were answered in time."""
        return self.in_time / max(1, self.request_count)
