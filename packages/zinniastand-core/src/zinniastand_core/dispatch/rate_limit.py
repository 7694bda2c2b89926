"""Paces the requests to a target that names how many it takes a second.

Such a target is in need, and what all VMs send it counts together. The dispatcher of
its shard sees all of it. Where several dispatch for a while, since VMs do not hear each
other or a task moves, each takes a part.
"""

from __future__ import annotations

import random

BURST = 0.5
"""Seconds by which requests may come before they are due: those of a service come in
clumps, and held to the mean at any moment a target would get less than it takes."""

LEAST_RATE = 0.1
"""Least requests a second that a target gets: with none at all, nobody would learn that
its limit has lifted."""

OTHERS_FOR = 1.5
"""Seconds for which another dispatcher that was heard of counts. Each tells all others
every second."""


class RateLimit:
    """The limit of one target, as a dispatcher applies it.

    This is the generic cell rate algorithm (ITU-T I.371).

    Parameters
    ----------
    rate : float
        Requests a second from all VMs together.
    due_at : float
        When the next request is due.
    announced_at : float
        When an answer has last named it.
    """

    def __init__(self, rate: float, due_at: float, announced_at: float) -> None:
        self._rate = max(LEAST_RATE, rate)
        self._due_at = due_at
        self._others_until: dict[str, float] = {}
        self.announced_at = announced_at

    @property
    def rate(self) -> float:
        """Requests a second from all VMs together."""
        return self._rate

    @property
    def due_at(self) -> float:
        """When the next request is due."""
        return self._due_at

    def set_rate(self, rate: float, now: float) -> None:
        """Take in that the target names this rate now."""
        self._rate = max(LEAST_RATE, rate)
        self.announced_at = now

    def allows_request(self, now: float) -> bool:
        """Return whether a request may go to the target."""
        return now >= self._due_at - BURST

    def record_request(self, share: float, now: float) -> None:
        """Count a request; `share` is this dispatcher's part of the rate."""
        self._others_until = {
            vm: until for vm, until in self._others_until.items() if until > now
        }
        own = share * self._rate / (1 + len(self._others_until))
        self._due_at = max(self._due_at, now) + 1 / max(LEAST_RATE * share, own)

    def claim_full_rate(self, now: float) -> None:
        """Take in that this dispatcher may use the whole rate from now on.

        The next request may be due only after the long turn of a small part.
        """
        self._due_at = min(self._due_at, now + BURST + 1 / self._rate)

    def record_other_dispatcher(self, vm: str, now: float) -> None:
        """Take in that another VM dispatches for the target as well."""
        self._others_until[vm] = now + OTHERS_FOR


def start_rate_limit(
    rate: float, now: float, share: float, rng: random.Random, announced_at: float
) -> RateLimit:
    """Return the limit of a target from now on.

    The first request is due at a random time within its turn: VMs that each use a small
    part of a rate would otherwise all send at the same moment.
    """
    turn = 1 / (max(LEAST_RATE, rate) * share)
    return RateLimit(rate, now + BURST + rng.random() * turn, announced_at)
