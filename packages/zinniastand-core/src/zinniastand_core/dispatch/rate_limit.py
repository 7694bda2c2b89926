"""Paces the requests to a target that announces a rate limit.

Such a target is overloaded. The requests of all VMs together count against its limit,
and the dispatcher of its shard sees all of them. While several dispatchers are
active, because VMs cannot reach each other or a shard passes to another VM, each uses a
share of the limit.
"""

from __future__ import annotations

import random

BURST_S = 0.5
"""Seconds by which requests may be sent before they are due. The requests of a service
arrive in bursts, and strict pacing would give a target less than it accepts."""

MIN_RATE_PER_S = 0.1
"""Minimum rate to a target. Without any request, no answer could announce that its
limit is lifted."""

OTHER_DISPATCHER_TIMEOUT_S = 1.5
"""Seconds after its last message for which another dispatcher gets a share of the
limit. Each dispatcher sends a message to all others every second."""


class RateLimit:
    """The limit of one target, as a dispatcher applies it.

    This is the generic cell rate algorithm (ITU-T I.371).

    Parameters
    ----------
    rate : float
        Requests per second from all VMs together.
    due_at : float
        When the next request is due, in seconds of a monotonic clock.
    announced_at : float
        When an answer last announced the limit, in seconds of the same clock.
    """

    def __init__(self, rate: float, due_at: float, announced_at: float) -> None:
        self._rate = max(MIN_RATE_PER_S, rate)
        self._due_at = due_at
        self._others_until: dict[str, float] = {}
        self.announced_at = announced_at

    @property
    def rate(self) -> float:
        """Requests per second from all VMs together."""
        return self._rate

    @property
    def due_at(self) -> float:
        """When the next request is due."""
        return self._due_at

    def set_rate(self, rate: float, now: float) -> None:
        """Set the rate that the target announces now."""
        self._rate = max(MIN_RATE_PER_S, rate)
        self.announced_at = now

    def allows_request(self, now: float) -> bool:
        """Return whether a request may be sent to the target."""
        return now >= self._due_at - BURST_S

    def record_request(self, share: float, now: float) -> None:
        """Count a request; `share` is this dispatcher's share of the rate."""
        self._others_until = {
            vm: until for vm, until in self._others_until.items() if until > now
        }
        own = share * self._rate / (1 + len(self._others_until))
        self._due_at = max(self._due_at, now) + 1 / max(MIN_RATE_PER_S * share, own)

    def claim_full_rate(self, now: float) -> None:
        """Use the whole rate from now on.

        With a small share, the next request may be due only after a long interval.
        """
        self._due_at = min(self._due_at, now + BURST_S + 1 / self._rate)

    def record_other_dispatcher(self, vm: str, now: float) -> None:
        """Record that another VM also dispatches to the target."""
        self._others_until[vm] = now + OTHER_DISPATCHER_TIMEOUT_S


def start_rate_limit(
    rate: float, now: float, share: float, rng: random.Random, announced_at: float
) -> RateLimit:
    """Return the limit of a target from now on.

    The first request is due at a random time within one interval: VMs that each use a
    small share of a rate would otherwise all send at the same moment.
    """
    interval = 1 / (max(MIN_RATE_PER_S, rate) * share)
    return RateLimit(rate, now + BURST_S + rng.random() * interval, announced_at)
