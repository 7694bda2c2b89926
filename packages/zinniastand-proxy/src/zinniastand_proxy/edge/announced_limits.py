"""Rate limits that targets have announced, kept for newly appointed dispatchers."""

from __future__ import annotations

import dataclasses
import math

from zinniastand_core.deployment import targets

LIMIT_RETENTION_S = 60.0
"""Seconds for which a limit is kept after an answer last announced it. A target with
little work answers seldom. A limit that was lifted ends with the next answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncedLimit:
    """A rate limit that a target has announced in its answers."""

    rate: float
    """Requests per second from all VMs together."""

    due_at: float
    """When the limit next admits a request, as far as this VM knows, in seconds of its
    monotonic clock."""

    born: int
    """Start of the target that announced it, as in `targets.Entry.born`."""

    last_announced_at: float
    """When an answer last announced it, by the same clock."""


class AnnouncedLimits:
    """Rate limits by target.

    Parameters
    ----------
    registry : targets.Registry
        Known targets; limits of others are not kept.
    """

    def __init__(self, registry: targets.Registry) -> None:
        self._registry = registry
        self._limits: dict[str, AnnouncedLimit] = {}

    def record(
        self, target_id: str, rate: float, due_at: float, last_announced_at: float
    ) -> None:
        """Record the limit of a target, or remove it if `rate` is infinite.

        Parameters
        ----------
        target_id : str
            The target.
        rate : float
            Requests per second from all VMs together; infinite if there is no limit.
        due_at : float
            When the limit next admits a request.
        last_announced_at : float
            When the target announced the limit.
        """
        entry = self._registry.find(target_id)
        if entry is None or math.isinf(rate):
            self._limits.pop(target_id, None)
            return
        self._limits[target_id] = AnnouncedLimit(
            rate, due_at, entry.born, last_announced_at
        )

    def find(self, entry: targets.Entry, now: float) -> AnnouncedLimit | None:
        """Return the limit that a target announced within `LIMIT_RETENTION_S`.

        None if there is none, or if the target has restarted since.
        """
        stored = self._limits.get(entry.target_id)
        if stored is None or stored.born != entry.born:
            return None
        return stored if now < stored.last_announced_at + LIMIT_RETENTION_S else None

    def remove_expired(self, now: float) -> None:
        """Remove limits past their retention time, and those of removed targets."""
        self._limits = {
            name: limit
            for name, limit in self._limits.items()
            if now < limit.last_announced_at + LIMIT_RETENTION_S
            and self._registry.find(name) is not None
        }
