"""Sizes, loads and faults of the model of arrivals."""

from __future__ import annotations

import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Size and load of one service."""

    vms: int
    """VMs that send to it."""

    vm_places: int
    """Data centres over which VMs and targets are spread."""

    targets: int
    """Targets."""

    slots: int
    """Slots of each."""

    load: float
    """Offered work as a share of all slots."""

    work_time: float = 0.05
    """Median seconds of work."""

    spread: float = 0.4
    """Sigma of the lognormal work time."""

    floor_share: float = 0.6
    """Floor as a share of all slots."""

    detection_weight: float = 0.5
    """Weight of detection time against false ejections."""

    skew: float = 0.0
    """0: the balancer spreads evenly; 1: the busiest VM gets twice the mean."""

    keyed_share: float = 0.0
    """Share of requests that may run only once and weigh five times."""

    queues: bool = False
    """Whether a full target queues work instead of refusing it."""


def _everybody(vm: int) -> bool:
    return True


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """What befalls one target, from the view of some VMs, for some time."""

    targets: tuple[int, ...]
    """Targets."""

    starts_at: float
    """Seconds."""

    ends_at: float
    """Seconds."""

    error_share: float = 0.0
    """Share of requests that fail."""

    slow_factor: float = 1.0
    """How much longer work takes."""

    period: float = 0.0
    """Seconds of one cycle of flapping, half of it sick; 0 for none."""

    seen_by: collections.abc.Callable[[int], bool] = _everybody
    """Which VMs suffer from it."""

    hangs: bool = False
    """Whether nothing comes back at all."""

    kind: str = ""
    """The one kind of work that it hits, or empty for all."""

    def hits(self, vm: int, target: int, kind: str, now: float) -> bool:
        """Return whether a request suffers from it."""
        if target not in self.targets or not self.starts_at <= now < self.ends_at:
            return False
        if self.kind and kind != self.kind:
            return False
        if self.period and (now - self.starts_at) % self.period >= self.period / 2:
            return False
        return self.seen_by(vm)


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRequest:
    """What became of one request."""

    arrived_at: float
    """Seconds."""

    took: float
    """Seconds."""

    weight: float
    """Worth."""

    is_answered: bool
    """Whether it got a good answer in time."""

    was_harmed: bool
    """Whether a fault touched it."""
