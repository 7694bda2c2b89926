"""Rules that keep work in the data centre where it arrived.

Load pattern: demand is uneven over data centres, or one of them loses targets, while
traffic between data centres is expensive. Work stays local while targets there can
answer it on time; only what exceeds their capacity goes elsewhere, and only to slots
that are free there. Each request is decided by the state at that moment. There is no
mode to switch, so that the share that leaves follows demand without flapping.
"""

from __future__ import annotations

import dataclasses
import typing

MAX_EXTRA_COST = 0.1
"""Cost by which a sound local target may exceed the cheapest target, in units of one
failed request. It covers the costs of load and of a new connection, and a difference in
risk that estimates of targets without an answer for a second have anyway."""

MAX_EXTRA_RISK = 0.03
"""Failure probability by which an idle local target may exceed that of an idle remote
one."""

WAIT_SHARE = 0.3
"""Part of the time to the objective that the expected wait for a local slot and the
work may use. Work that takes three times its mean duration is then still on time."""

GUEST_SHARE = 0.4
"""Part of the time to the objective that wait and work in a remote shard may use."""

MAX_WAIT_WORK = 0.5
"""Multiple of the mean duration of work that the expected wait for a local slot may be.
Behind a longer queue, work that may run only once is sent to targets in doubt."""

URGENT_MARGIN = 2.5
"""Multiple of the mean duration of work. Work with less time to its objective also
takes a slot of a data centre where other work waits: it would be late otherwise, and
that work is not yet."""

FULL_PRESSURE = 1.0
"""Pressure of a shard above which it has no free sound slot for work from elsewhere."""


FULL_FOR_S = 0.1
"""Seconds for which such a shard is not asked again. Its slots become free at a higher
rate, but each VM would ask it for each request."""


MIN_MEAN_S = 0.001
"""Minimum in seconds of the mean duration of work, where it is a divisor."""


class Priced(typing.Protocol):
    """A target that work could go to."""

    @property
    def cost(self) -> float:
        """Expected loss from choosing it; 1 is a failed request."""
        ...

    @property
    def failure_probability(self) -> float:
        """Probability that it fails the request."""
        ...


P = typing.TypeVar("P", bound=Priced)


def choose_target(cheapest: P, local: P | None) -> P:
    """Return the local target unless it is clearly worse than the cheapest one.

    Parameters
    ----------
    cheapest : Priced
        The cheapest target of all data centres.
    local : Priced or None
        The cheapest sound target of the data centre where the work arrived.
    """
    if local is None or local.cost > cheapest.cost + MAX_EXTRA_COST:
        return cheapest
    return local


def choose_idle(safest: P, local: P | None) -> P:
    """Return the idle local target unless it is clearly more likely to fail.

    Parameters
    ----------
    safest : Priced
        The idle target of all data centres that is least likely to fail.
    local : Priced or None
        The same among those of the data centre where the work arrived.
    """
    if local is None:
        return safest
    risk = local.failure_probability - safest.failure_probability
    return local if risk <= MAX_EXTRA_RISK else safest


@dataclasses.dataclass(frozen=True, slots=True)
class LocalQueue:
    """The work that waits for the sound slots of one data centre."""

    slots: float
    """Slots of its targets that are proven healthy."""

    ahead: int
    """Requests that get a slot first."""


def may_wait(
    queue: LocalQueue, mean: float, arrived_at: float, objective_at: float, now: float
) -> bool:
    """Return whether work may wait for a local slot instead of leaving.

    Parameters
    ----------
    queue : LocalQueue
        The work that waits for local slots.
    mean : float
        Mean duration of the work in seconds.
    arrived_at, objective_at : float
        When it arrived, and until when its answer is on time.
    now : float
        Seconds of the same clock.
    """
    if queue.slots <= 0:
        return False
    wait = mean * (queue.ahead + 1) / queue.slots
    if now - arrived_at + wait > MAX_WAIT_WORK * mean:
        return False
    return is_well_on_time(wait + mean, arrived_at, objective_at, now)


def find_max_pressure(time_left: float, mean: float) -> float:
    """Return the pressure of a remote shard up to which work may wait there.

    Its own work is alike, and remains well on time up to that pressure.

    Parameters
    ----------
    time_left : float
        Seconds to the objective of the work.
    mean : float
        Mean duration of the work in seconds.
    """
    return GUEST_SHARE * time_left / max(MIN_MEAN_S, mean)


def is_urgent(time_left: float, mean: float) -> bool:
    """Return whether work with `time_left` seconds to its objective must start now."""
    return time_left < URGENT_MARGIN * mean


def is_well_on_time(
    remaining: float, arrived_at: float, objective_at: float, now: float
) -> bool:
    """Return whether work that needs `remaining` more seconds ends within the part of
    its objective that local work may use.
    """
    return now - arrived_at + remaining <= WAIT_SHARE * (objective_at - arrived_at)
