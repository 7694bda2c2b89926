"""Loads for the model of retries, and what comes of them."""

from __future__ import annotations

import collections
import dataclasses

from zinniastand_standins import retry_audit

BOUND = retry_audit.Bound(ratio=0.2, slack=58.0, span=10.0)


@dataclasses.dataclass(frozen=True, slots=True)
class TimedShare:
    """A share that applies from one time to another, and is 0 otherwise."""

    begin: float
    """First second at which it applies."""

    end: float
    """Second from which it no longer applies."""

    share: float
    """Its value in between, from 0 to 1."""

    def find_share(self, now: float) -> float:
        """Return the share that applies at `now`."""
        return self.share if self.begin <= now < self.end else 0.0


NEVER = TimedShare(0.0, 0.0, 0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """VMs that are killed at one moment and start again."""

    at: float
    """When."""

    share: float
    """Share of the VMs; the ones that dispatch go first."""

    down: float = 0.6
    """Seconds until they start again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What is played."""

    vms: int = 36
    """VMs."""

    data_centres: int = 3
    """Data centres that they and the targets are spread over."""

    target_count: int = 22
    """Targets."""

    slots: int = 4
    """Requests that a target works on at a time."""

    rate: float = 130.0
    """Requests a second."""

    seconds: float = 30.0
    """Seconds for which callers send."""

    surge: TimedShare = NEVER
    """Share by which the rate is higher for a while."""

    wave: float = 0.0
    """Share by which the rate of a data centre swings, each with a phase of its own."""

    work: float = 0.25
    """Mean seconds of work."""

    idempotent: float = 0.25
    """Share of requests that may run more than once."""

    shed: TimedShare = NEVER
    """Share of arrivals that targets turn away."""

    failing: TimedShare = NEVER
    """Share of arrivals that targets fail at once."""

    unreachable: TimedShare = NEVER
    """Share of the targets that refuse connections."""

    kills: tuple[Kill, ...] = ()
    """Kills of VMs."""

    late_datagrams: TimedShare = NEVER
    """Share of datagrams that arrive late, as at a VM that gets no processor time."""

    mean_late_delay_s: float = 0.12
    """Mean of the seconds by which they are late; up to twice as many are drawn."""

    lost: float = 0.001
    """Share of datagrams that are lost."""

    bound: retry_audit.Bound = BOUND
    """Retries allowed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What came of a load."""

    worst: retry_audit.Span
    """The span with the most retries beyond the bound."""

    request_count: int
    """Requests that callers sent."""

    served: int
    """Those answered with success."""

    retries: int
    """Arrivals beyond the first of each request."""

    refused: collections.Counter[str]
    """Requests that got no answer of a target, by the reason that was given."""

    @property
    def served_share(self) -> float:
        """Share of the requests that were served."""
        return self.served / max(1, self.request_count)


def make_load(vms: int, **changes: object) -> Load:
    """Return a load that grows with the fleet, and turns half away from 8 s on."""
    load = Load(
        vms=vms,
        target_count=round(vms * 0.65),
        slots=3,
        rate=4.0 * vms,
        seconds=15.0,
        shed=TimedShare(8.0, 14.0, 0.55),
        bound=retry_audit.Bound(BOUND.ratio, 1.6 * vms, BOUND.span),
    )
    return dataclasses.replace(load, **changes)  # type: ignore[arg-type]
