"""Sizes, loads, faults and results of the model of arrivals."""

from __future__ import annotations

import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Size and load of one service."""

    vms: int
    """Number of VMs that send requests to the service."""

    data_centres: int
    """Number of data centres over which VMs and targets are spread."""

    targets: int
    """Number of targets."""

    slots: int
    """Slots of each target."""

    load: float
    """Offered work, as a share of what all slots can do."""

    work_time: float = 0.05
    """Median work time, in seconds."""

    work_sigma: float = 0.4
    """Standard deviation of the logarithm of work times."""

    floor_share: float = 0.6
    """Share of all slots that ejections must leave."""

    detection_weight: float = 0.5
    """Weight of short detection against few false ejections, from 0 to 1."""

    skew: float = 0.0
    """Unevenness of the load of VMs: 0 if all get the same, 1 if the busiest gets twice
    the mean."""

    keyed_share: float = 0.0
    """Share of requests of the kind that stands for keyed requests; it has five times
    the weight of the other."""

    queues: bool = False
    """Whether a target with no free slot queues requests instead of refusing them."""


def _affects_every_vm(vm: int) -> bool:
    return True


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault of some targets for some time, as some of the VMs observe it."""

    targets: tuple[int, ...]
    """Indexes of the targets."""

    starts_at: float
    """Begin, in seconds of virtual time."""

    ends_at: float
    """End, in seconds of virtual time."""

    error_share: float = 0.0
    """Share of requests that are answered with an error."""

    slow_factor: float = 1.0
    """Factor by which work takes longer."""

    period: float = 0.0
    """Seconds of a cycle in whose first half the fault is present; 0 for a constant
    fault."""

    seen_by: collections.abc.Callable[[int], bool] = _affects_every_vm
    """Whether the VM with a given number is affected."""

    hangs: bool = False
    """Whether requests get no answer at all."""

    kind: str = ""
    """Name of the only kind of request that is affected; empty for all kinds."""

    def affects(self, vm: int, target: int, kind: str, now: float) -> bool:
        """Return whether a request from a VM to a target is affected."""
        if target not in self.targets or not self.starts_at <= now < self.ends_at:
            return False
        if self.kind and kind != self.kind:
            return False
        if self.period and (now - self.starts_at) % self.period >= self.period / 2:
            return False
        return self.seen_by(vm)


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRequest:
    """A request that was answered or refused, or whose deadline passed."""

    arrived_at: float
    """Time of its arrival, in seconds of virtual time."""

    duration_s: float
    """Time from its arrival to its end."""

    weight: float
    """Weight of its kind."""

    is_answered: bool
    """Whether it was answered without an error before its deadline."""

    was_affected: bool
    """Whether a fault affected one of its attempts."""
