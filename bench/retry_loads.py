"""Loads for the model of retries, and the results of simulating them."""

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
    """VMs that are killed at the same time and start again."""

    at: float
    """Time of the kill, in seconds from the begin of the load."""

    share: float
    """Share of the VMs that are killed, beginning with the VM that dispatches for the
    most shards."""

    down_s: float = 0.6
    """Time until they start again."""

    has_successor: bool = False
    """Whether the VM that would succeed it most often is among them."""


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A time in which some VMs exchange no datagrams with the others."""

    begin: float
    """Time at which it begins, in seconds from the begin of the load."""

    end: float
    """Time at which it ends."""

    share: float
    """Share of the VMs that are cut off from the others, and hear only each other."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetChange:
    """Targets that join or leave, so that the shards may change."""

    at: float
    """Time of the change, in seconds from the begin of the load."""

    target_count: int
    """Number of targets of each service from then on."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Size of a fleet, requests to one service, and faults while they arrive.

    Times are in seconds from the begin of the load.
    """

    vms: int = 36
    """Number of VMs."""

    data_centres: int = 3
    """Number of data centres over which VMs and targets are spread."""

    target_count: int = 22
    """Number of targets."""

    slots: int = 4
    """Requests that a target runs at a time without becoming slower."""

    rate: float = 130.0
    """Mean requests per second."""

    seconds: float = 30.0
    """Seconds for which callers send."""

    surge: TimedShare = NEVER
    """Share by which the rate is higher for some time."""

    rate_swing: float = 0.0
    """Share by which the rate of each data centre rises and falls, out of phase with
    the others."""

    mean_work_s: float = 0.25
    """Mean work time of a target that is not overloaded."""

    idempotent_share: float = 0.25
    """Share of requests that are idempotent."""

    shed: TimedShare = NEVER
    """Share of received requests that targets turn away."""

    failing: TimedShare = NEVER
    """Share of received requests that targets answer with an error at once."""

    unreachable: TimedShare = NEVER
    """Share of the targets that refuse connections."""

    kills: tuple[Kill, ...] = ()
    """Kills of VMs."""

    late_datagrams: TimedShare = NEVER
    """Share of datagrams that arrive late, as at a VM that gets no processor time."""

    mean_late_delay_s: float = 0.12
    """Mean of the seconds by which they are late; up to twice as many are drawn."""

    cuts: tuple[Cut, ...] = ()
    """Times in which some VMs are cut off from the others."""

    target_changes: tuple[TargetChange, ...] = ()
    """Changes of the targets, of which each VM learns at another time."""

    route_changes: tuple[float, ...] = ()
    """Times at which the route changes from one service to the other, of which each VM
    learns at another time."""

    max_notice_delay_s: float = 1.0
    """Maximum time until a VM learns of a change of targets or routes."""

    lost_datagram_share: float = 0.001
    """Share of datagrams that are lost."""

    bound: retry_audit.Bound = BOUND
    """Limit of the retries."""


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Numbers of requests and retries, and the span with the most retries."""

    worst: retry_audit.Span
    """Span that exceeds the limit of retries most, or stays closest below it, of all
    services."""

    request_count: int
    """Number of requests that callers sent."""

    served: int
    """Number of requests answered with status 200."""

    retries: int
    """Number of requests received by targets, without the first of each request."""

    refused: collections.Counter[str]
    """Number of requests not answered with status 200, by the recorded reason."""

    loan_bytes: int = 0
    """Bytes that VMs have sent to each other to lend retries."""

    remote_loan_bytes: int = 0
    """The part of these that went to other data centres."""

    @property
    def served_share(self) -> float:
        """Share of requests answered with status 200."""
        return self.served / max(1, self.request_count)


def make_load(vms: int, **changes: object) -> Load:
    """Return a load for a number of VMs, whose targets turn half away from 8 s on."""
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
